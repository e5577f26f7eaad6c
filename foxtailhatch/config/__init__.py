"""Configuration: labels, selectors, publications and what is in force."""

from foxtailhatch.config.access import (
    Access,
    ConfigurationIndex,
    access,
    caller_of,
    index_configuration,
    must_not_repeat,
    reachable_models,
    reachable_services,
)
from foxtailhatch.config.configuration import (
    Account,
    Adapter,
    CallerEntry,
    Configuration,
    Labels,
    Model,
    Selector,
    Service,
    carries,
)
from foxtailhatch.config.differences import Difference, differences
from foxtailhatch.config.documents import (
    parse_configuration,
    render_configuration,
)
from foxtailhatch.config.fold import (
    ConfigurationFold,
    RecordsLost,
    StateAdopted,
)
from foxtailhatch.config.outcomes import (
    Accepted,
    FoldOutcome,
    Marked,
    Refused,
    Unchanged,
)
from foxtailhatch.config.publisher import (
    Conflicted,
    Faulty,
    MaybePublished,
    NotPublished,
    PublishAttempt,
    Published,
    begin_publication,
)
from foxtailhatch.config.records import (
    CONFIGURATION_STREAM,
    ConfigurationRecord,
    MarkRecord,
    Publication,
    Restoration,
    SnapshotRecord,
    decode_record,
    encode_record,
)
from foxtailhatch.config.references import ConfigFault
from foxtailhatch.config.snapshots import SnapshotWriter
from foxtailhatch.config.state import FoldState, snapshot_of, state_of
from foxtailhatch.config.updates import encode_update, take_update

__all__ = [
    'CONFIGURATION_STREAM',
    'Accepted',
    'Access',
    'Account',
    'Adapter',
    'CallerEntry',
    'ConfigFault',
    'Configuration',
    'ConfigurationFold',
    'ConfigurationIndex',
    'ConfigurationRecord',
    'Conflicted',
    'Difference',
    'Faulty',
    'FoldOutcome',
    'FoldState',
    'Labels',
    'MarkRecord',
    'Marked',
    'MaybePublished',
    'Model',
    'NotPublished',
    'Publication',
    'PublishAttempt',
    'Published',
    'RecordsLost',
    'Refused',
    'Restoration',
    'Selector',
    'Service',
    'SnapshotRecord',
    'SnapshotWriter',
    'StateAdopted',
    'Unchanged',
    'access',
    'begin_publication',
    'caller_of',
    'carries',
    'decode_record',
    'differences',
    'encode_record',
    'encode_update',
    'index_configuration',
    'must_not_repeat',
    'parse_configuration',
    'reachable_models',
    'reachable_services',
    'render_configuration',
    'snapshot_of',
    'state_of',
    'take_update',
]
