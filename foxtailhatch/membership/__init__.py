"""Membership of endpoints and entries, and the gossip that spreads it."""

from foxtailhatch.membership.digest import (
    Digest,
    LeaveNotice,
    RequestedReply,
    Suspicion,
)
from foxtailhatch.membership.endpoint_record import EndpointState
from foxtailhatch.membership.endpoints import EndpointChange, EndpointTable
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, EntryState, Liveness
from foxtailhatch.membership.entry_record import (
    EntryChange,
    EntryRecord,
    MergeOutcome,
)
from foxtailhatch.membership.gossip import Gossip
from foxtailhatch.membership.gossip_actions import (
    EndpointLeaving,
    GossipAction,
    RequestConfiguration,
    SendDigest,
)
from foxtailhatch.membership.planned_stop import (
    PlannedStop,
    StopPhase,
    StopStatus,
)

__all__ = [
    'RequestConfiguration',
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
    'MergeOutcome',
    'PlannedStop',
    'SendDigest',
    'StopPhase',
    'StopStatus',
    'Suspicion',
    'RequestedReply',
]
