"""Who is there: endpoints, entries, and how they come and go."""

from foxtailhatch.membership.endpoint_record import EndpointState
from foxtailhatch.membership.endpoints import EndpointChange, EndpointTable
from foxtailhatch.membership.entries import (
    EntryChange,
    EntryRecord,
    EntryTable,
)
from foxtailhatch.membership.entry import Entry, EntryState, Liveness
from foxtailhatch.membership.planned_stop import (
    PlannedStop,
    StopPhase,
    StopStep,
)

__all__ = [
    'EndpointChange',
    'EndpointState',
    'EndpointTable',
    'Entry',
    'EntryChange',
    'EntryRecord',
    'EntryState',
    'EntryTable',
    'Liveness',
    'PlannedStop',
    'StopPhase',
    'StopStep',
]
