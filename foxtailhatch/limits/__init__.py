"""Which requests start, which wait and which are refused as not run."""

from foxtailhatch.limits.account_shares import (
    AccountDemand,
    AccountShares,
    DemandReport,
)
from foxtailhatch.limits.admission import (
    AdmissionController,
    AdmissionLimits,
    RunningTicket,
)
from foxtailhatch.limits.tickets import Queued, RefusedTicket, Ticket

__all__ = [
    'AccountDemand',
    'AccountShares',
    'AdmissionController',
    'AdmissionLimits',
    'Queued',
    'RefusedTicket',
    'RunningTicket',
    'Ticket',
    'DemandReport',
]
