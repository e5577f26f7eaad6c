"""Operator-published configuration: parsing, publishing and replication."""

from foxtailhatch.config.access_control import (
    Access,
    ConfigurationIndex,
    evaluate_access,
    find_caller,
    index_configuration,
    reachable_models,
    reachable_services,
    requires_at_most_once,
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
    has_labels,
)
from foxtailhatch.config.diff import Difference, diff_configurations
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
from foxtailhatch.config.peer_updates import (
    apply_peer_update,
    encode_peer_update,
)
from foxtailhatch.config.publisher import (
    Conflicted,
    InvalidConfiguration,
    NotPublished,
    PublicationAttempt,
    PublicationUnknown,
    Published,
    start_publication,
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
from foxtailhatch.config.state import FoldState, make_snapshot, restore_state

__all__ = [
    'Accepted',
    'Access',
    'Account',
    'Adapter',
    'CONFIGURATION_STREAM',
    'CallerEntry',
    'ConfigFault',
    'Configuration',
    'ConfigurationFold',
    'ConfigurationIndex',
    'ConfigurationRecord',
    'Conflicted',
    'Difference',
    'FoldOutcome',
    'FoldState',
    'InvalidConfiguration',
    'Labels',
    'MarkRecord',
    'Marked',
    'Model',
    'NotPublished',
    'Publication',
    'PublicationAttempt',
    'PublicationUnknown',
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
    'apply_peer_update',
    'decode_record',
    'diff_configurations',
    'encode_peer_update',
    'encode_record',
    'evaluate_access',
    'find_caller',
    'has_labels',
    'index_configuration',
    'make_snapshot',
    'parse_configuration',
    'reachable_models',
    'reachable_services',
    'render_configuration',
    'requires_at_most_once',
    'restore_state',
    'start_publication',
]
