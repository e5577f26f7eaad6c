"""What every resource of the HTTP front works with."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailhatch.callers.answer_timing import AnswerTimes
from foxtailhatch.callers.gateway import Gateway
from foxtailhatch.callers.operations import OperatorAccess
from foxtailhatch.callers.tokens import Tokenizer
from foxtailhatch.core import ErrorCode, InvariantViolation
from foxtailhatch.core.reactor_clock import ReactorClock


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds on what one caller may take of this instance.

    ``body_bytes`` bounds a request's body and ``body_timeout_s`` the time in
    which its headers and body must arrive.  ``slow_caller_s`` is the longest
    time in which a caller may leave a full send buffer unread, and
    ``first_token_s`` the wait for a first token if the caller names none.
    """

    body_bytes: int = 1_048_576
    body_timeout_s: float = 10
    slow_caller_s: float = 30
    first_token_s: float = 30


class Observability(Protocol):
    """What the front shows of the daemon and tells it for its counters."""

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    def healthy(self) -> bool:
        """Tell whether the process works."""

    def ready(self) -> bool:
        """Tell whether new callers may be sent here."""

    def timeline(self, subject: str) -> object:
        """Return this instance's events as plain JSON values."""

    def status(self) -> object:
        """Return this instance's state as plain JSON values."""

    def record_request_outcome(self, code: ErrorCode | None) -> None:
        """Count one request, with its error code or ``None`` if it is whole."""

    def record_answer_times(self, times: AnswerTimes) -> None:
        """Count when the tokens of one answer came."""

    def invariant_broken(self, exc: InvariantViolation) -> None:
        """Record a broken invariant and stop the process."""


@dataclass(frozen=True, slots=True)
class ApiContext:
    """The daemon, the bounds and the sources that resources share.

    ``clock`` schedules timeouts, ``wall_time`` returns seconds since the
    epoch, ``new_request_id`` a fresh id for each request.  Without
    ``operators`` the operators' paths are closed.
    """

    gateway: Gateway
    observability: Observability
    limits: HttpLimits
    tokenizer: Tokenizer
    clock: ReactorClock
    wall_time: Callable[[], float]
    new_request_id: Callable[[], str]
    operators: OperatorAccess | None = None
