"""Who is there: endpoints, entries, and how they come and go."""

from foxtailhatch.membership.digest import (
    Digest,
    LeaveNotice,
    Suspicion,
    Want,
)
from foxtailhatch.membership.endpoint_record import EndpointState
from foxtailhatch.membership.endpoints import EndpointChange, EndpointTable
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, EntryState, Liveness
from foxtailhatch.membership.entry_record import (
    EntryChange,
    EntryRecord,
    Merge,
)
from foxtailhatch.membership.gossip import Gossip
from foxtailhatch.membership.gossip_actions import (
    AskConfiguration,
    EndpointLeaving,
    GossipAction,
    SendDigest,
)
from foxtailhatch.membership.planned_stop import (
    PlannedStop,
    StopPhase,
    StopStep,
)

__all__ = [
    'AskConfiguration',
    'Digest',
    'EndpointChange',
    'EndpointLeaving',
    'EndpointState',
    'EndpointTable',
    'Entry',
    'EntryChange',
    'EntryRecord',
    'EntryState',
    'EntryTable',
    'Gossip',
    'GossipAction',
    'LeaveNotice',
    'Liveness',
    'Merge',
    'PlannedStop',
    'SendDigest',
    'StopPhase',
    'StopStep',
    'Suspicion',
    'Want',
]
