"""Objects that all resources of the HTTP API share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from foxtailhatch.callers.answer_timing import AnswerTimes
from foxtailhatch.callers.gateway import Gateway
from foxtailhatch.callers.operations import OperatorAccess
from foxtailhatch.callers.tokens import Tokenizer
from foxtailhatch.core import ErrorCode, InvariantViolation
from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.relay.body_memory import BodyMemory


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the requests of one caller to this instance.

    ``body_bytes`` is the maximum size of a request body, and
    ``body_timeout_s`` the time within which headers and body must arrive.
    A caller that does not empty a full send buffer within ``slow_caller_s``
    is disconnected.  ``first_token_s`` is the deadline for the first token
    of requests without one.
    """

    body_bytes: int = 1_048_576
    body_timeout_s: float = 10
    slow_caller_s: float = 30
    first_token_s: float = 30


class Observability(Protocol):
    """State that the API shows, and counters that it updates."""

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    def healthy(self) -> bool:
        """Return whether the process works."""

    def ready(self) -> bool:
        """Return whether new callers may be sent here."""

    def timeline(self, subject: str) -> object:
        """Return this instance's events as plain JSON values."""

    def status(self) -> object:
        """Return this instance's state as plain JSON values."""

    def record_request_outcome(self, code: ErrorCode | None) -> None:
        """Count a request with its error code, ``None`` if it succeeded."""

    def record_answer_times(self, times: AnswerTimes) -> None:
        """Record the token latencies of one answer."""

    def invariant_broken(self, exc: InvariantViolation) -> None:
        """Record a violated invariant and stop the process."""


@dataclass(frozen=True, slots=True)
class ApiContext:
    """The daemon, limits and id sources that all resources use.

    ``clock`` schedules timeouts.  ``wall_time`` returns seconds since the
    epoch, and ``new_request_id`` a unique id for each request.  If
    ``operators`` is ``None``, the paths below ``/admin`` are forbidden.
    ``bodies`` is the memory that all request bodies may take together.
    """

    gateway: Gateway
    observability: Observability
    limits: HttpLimits
    tokenizer: Tokenizer
    clock: ReactorClock
    wall_time: Callable[[], float]
    new_request_id: Callable[[], str]
    operators: OperatorAccess | None = None
    bodies: BodyMemory = field(default_factory=BodyMemory)
