"""Which requests start, which wait and which are refused as not run."""

from foxtailhatch.limits.admission import (
    Admission,
    AdmissionBounds,
    RunningTicket,
)
from foxtailhatch.limits.shares import (
    AccountDemand,
    AccountShares,
    UsageReport,
)
from foxtailhatch.limits.tickets import Queued, RefusedTicket, Ticket

__all__ = [
    'AccountDemand',
    'AccountShares',
    'Admission',
    'AdmissionBounds',
    'Queued',
    'RefusedTicket',
    'RunningTicket',
    'Ticket',
    'UsageReport',
]
