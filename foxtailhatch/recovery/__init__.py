"""Endpoint health, retry budgets and detection of stalled stages."""

from foxtailhatch.recovery.health import (
    Ejected,
    EndpointAdmission,
    EndpointHealth,
    HealthOutcome,
    Restored,
    Unchanged,
)
from foxtailhatch.recovery.retry_budget import (
    FailedAttempt,
    FailureCause,
    RetryBudget,
    RetryDecision,
    RetryDenialReason,
    RetryDenied,
    RetryGranted,
)
from foxtailhatch.recovery.stall_detector import (
    OverdueStep,
    PendingStep,
    StallDetector,
)

__all__ = [
    'Ejected',
    'EndpointAdmission',
    'EndpointHealth',
    'FailedAttempt',
    'FailureCause',
    'HealthOutcome',
    'OverdueStep',
    'PendingStep',
    'Restored',
    'RetryBudget',
    'RetryDecision',
    'RetryDenialReason',
    'RetryDenied',
    'RetryGranted',
    'StallDetector',
    'Unchanged',
]
