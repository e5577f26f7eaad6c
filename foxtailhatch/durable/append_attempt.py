"""Retry the append of one record until a reader confirms it.

The record carries an id and readers apply each id once, so the append is
idempotent: it may be repeated whenever its acknowledgement is missing.
Only reading the record back from the log confirms it.
"""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.outside import PlatformFault

RETRY_DELAY_S = 1.0
APPEND_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Request to append ``body`` to a stream and report the result."""

    stream: str
    body: bytes


class AppendStep(StrEnum):
    """The next step of an append attempt.

    After the deadline, ``NOT_APPENDED`` is returned only if no append can
    have taken effect, and ``UNKNOWN`` if one may have.
    """

    APPEND = 'append'
    WAIT = 'wait'
    CONFIRMED = 'settled'
    NOT_APPENDED = 'never_landed'
    UNKNOWN = 'unknown'


class AppendAttempt:
    """The state of the append of one record.

    ``confirmed`` states in each call whether the reader has read the record
    back from the log.
    """

    def __init__(self, record: AppendRecord, deadline_at: float) -> None:
        """Start an attempt that stops retrying at ``deadline_at``."""
        self.record = record
        self.deadline_at = deadline_at
        self.may_be_appended = False
        self._retry_at = float(0)
        self._sent_at: float | None = None

    def step(self, now: float, confirmed: bool) -> AppendStep:
        """Return the step to take at ``now``.

        Report the result of an ``APPEND`` by :meth:`handle_acknowledgement`
        or :meth:`handle_failure`.
        """
        if confirmed:
            return AppendStep.CONFIRMED
        if now >= self.deadline_at:
            return self._timeout_step()
        if self._is_waiting(now):
            return AppendStep.WAIT
        self._sent_at = now
        return AppendStep.APPEND

    def handle_acknowledgement(self, now: float) -> None:
        """Record that the append succeeded, and wait for it to be read."""
        self._finish_append(now)
        self.may_be_appended = True
        self._retry_at = self.deadline_at

    def handle_failure(self, now: float, fault: PlatformFault) -> None:
        """Record that the append failed or that its response was lost."""
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
