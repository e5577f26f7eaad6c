"""Getting one record to count although acknowledgements get lost.

The record carries an id, and its readers count an id once.  So it may be
appended again whenever it is not known to have landed, and the log alone
tells what became of it.
"""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.outside import PlatformFault

RETRY_DELAY_S = 1.0
APPEND_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append ``body`` to a stream and report how it went."""

    stream: str
    body: bytes


class AppendStep(StrEnum):
    """What an attempt needs next.

    ``NEVER_LANDED`` is said only when no append can have taken effect, and
    ``UNKNOWN`` when the time is over and one may have.
    """

    APPEND = 'append'
    WAIT = 'wait'
    CONFIRMED = 'settled'
    NOT_APPENDED = 'never_landed'
    UNKNOWN = 'unknown'


class AppendAttempt:
    """The state of one record on its way into the log.

    ``settled`` tells in each call whether the reader has met the record.
    """

    def __init__(self, record: AppendRecord, deadline_at: float) -> None:
        """Start an attempt that gives up at ``deadline_at``."""
        self.record = record
        self.deadline_at = deadline_at
        self.may_be_appended = False
        self._retry_at = float(0)
        self._sent_at: float | None = None

    def step(self, now: float, confirmed: bool) -> AppendStep:
        """Return what to do at ``now``; ``APPEND`` is answered later."""
        if confirmed:
            return AppendStep.CONFIRMED
        if now >= self.deadline_at:
            return self._timeout_step()
        if self._is_waiting(now):
            return AppendStep.WAIT
        self._sent_at = now
        return AppendStep.APPEND

    def handle_acknowledgement(self, now: float) -> None:
        """Learn that the append landed; the reader will meet it."""
        self._finish_append(now)
        self.may_be_appended = True
        self._retry_at = self.deadline_at

    def handle_failure(self, now: float, fault: PlatformFault) -> None:
        """Learn that the append failed, or that its answer was lost."""
        self._finish_append(now)
        if fault is not PlatformFault.UNREACHABLE:
            self.may_be_appended = True

    def _finish_append(self, now: float) -> None:
        self._sent_at = None
        self._retry_at = now + RETRY_DELAY_S

    def _is_waiting(self, now: float) -> bool:
        if self._sent_at is None:
            return now < self._retry_at
        if now < self._sent_at + APPEND_TIMEOUT_S:
            return True
        self.may_be_appended = True
        return False

    def _timeout_step(self) -> AppendStep:
        if self.may_be_appended or self._sent_at is not None:
            return AppendStep.UNKNOWN
        return AppendStep.NOT_APPENDED
