"""The seven invariants, asserted inside the program.

A check that holds adds one to its counter.  A check that fails raises
:class:`InvariantViolation`, which no code catches but the daemon's outermost
layer: that one records an event, writes one log line and stops the process.
"""

from collections import Counter
from enum import StrEnum


class Invariant(StrEnum):
    """The names of what must hold at all times."""

    LAYERS_ONCE_IN_ORDER = 'layers_once_in_order'
    COMPLETE_OWN_RESPONSE = 'whole_own_answer'
    NOT_RUN_IS_ACCURATE = 'not_run_is_true'
    AT_MOST_ONCE = 'at_most_once'
    DRAINING_GETS_NO_WORK = 'leaving_gets_no_work'
    SHUTDOWN_ABORTS_NOTHING = 'stop_cuts_nothing'
    CONFIGURATION_MONOTONIC = 'configuration_never_reverts'


class InvariantViolation(BaseException):  # noqa: WPS418
    """Raised when a check fails; it must not be handled as an error."""

    def __init__(self, invariant: Invariant, evidence: str) -> None:
        """Keep the invariant's name and the evidence against it."""
        super().__init__(f'{invariant.value}: {evidence}')
        self.invariant = invariant
        self.evidence = evidence


check_counts: Counter[Invariant] = Counter()


def check_invariant(invariant: Invariant, holds: bool, evidence: str) -> None:
    """Count the check, and raise :class:`InvariantViolation` if it fails.

    >>> check_invariant(Invariant.AT_MOST_ONCE, True, 'claim 7 is first')
    """
    check_counts[invariant] += 1
    if not holds:
        raise InvariantViolation(invariant, evidence)
