"""Runtime checks of the seven system invariants.

Each check is counted.  A check that fails raises :class:`InvariantViolation`.
Only the outermost layer of the process catches it: it records an event,
writes a log line and stops the process.
"""

from collections import Counter
from enum import StrEnum


class Invariant(StrEnum):
    """A property that must hold at all times."""

    LAYERS_ONCE_IN_ORDER = 'layers_once_in_order'
    COMPLETE_OWN_RESPONSE = 'whole_own_answer'
    NOT_RUN_IS_ACCURATE = 'not_run_is_true'
    AT_MOST_ONCE = 'at_most_once'
    DRAINING_GETS_NO_WORK = 'leaving_gets_no_work'
    SHUTDOWN_ABORTS_NOTHING = 'stop_cuts_nothing'
    CONFIGURATION_MONOTONIC = 'configuration_never_reverts'


class InvariantViolation(BaseException):  # noqa: WPS418
    """Raised when an invariant does not hold.

    It is not an :class:`Exception`, so that no error handler catches it.
    """

    def __init__(self, invariant: Invariant, evidence: str) -> None:
        """Store the violated invariant and the evidence of the violation."""
        super().__init__(f'{invariant.value}: {evidence}')
        self.invariant = invariant
        self.evidence = evidence


check_counts: Counter[Invariant] = Counter()


def check_invariant(invariant: Invariant, holds: bool, evidence: str) -> None:
    """Count the check and raise :class:`InvariantViolation` if it fails.

    >>> check_invariant(Invariant.AT_MOST_ONCE, True, 'claim 7 is first')
    """
    check_counts[invariant] += 1
    if not holds:
        raise InvariantViolation(invariant, evidence)
