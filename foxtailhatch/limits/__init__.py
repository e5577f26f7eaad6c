"""Admission control and fair queueing of requests by client account."""

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
    'DemandReport',
    'Queued',
    'RefusedTicket',
    'RunningTicket',
    'Ticket',
]
