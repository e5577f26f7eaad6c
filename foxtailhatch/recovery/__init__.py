"""Failing endpoints, retry budgets and detection of stalled stages."""

from foxtailhatch.recovery.budget import (
    FailedAttempt,
    FailureCause,
    RetryBudget,
    RetryDenial,
    RetryDenied,
    RetryGranted,
    RetryVerdict,
)
from foxtailhatch.recovery.health import (
    Admission,
    Ejected,
    EndpointHealth,
    HealthOutcome,
    Restored,
    Unchanged,
)
from foxtailhatch.recovery.progress import ProgressWatch, Suspect, Wait

__all__ = [
    'Admission',
    'Ejected',
    'EndpointHealth',
    'FailedAttempt',
    'FailureCause',
    'HealthOutcome',
    'ProgressWatch',
    'Restored',
    'RetryBudget',
    'RetryDenial',
    'RetryDenied',
    'RetryGranted',
    'RetryVerdict',
    'Suspect',
    'Unchanged',
    'Wait',
]
