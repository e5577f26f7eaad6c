"""Interface between the HTTP API and the daemon for callers' requests."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from foxtailhatch.core import Caller, Refusal
from foxtailhatch.outside.protocols import ServiceResponse


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A request for an answer of a model.

    ``prompt`` is a sequence of token ids.  ``received`` holds the tokens of
    the answer that the caller already got from an entry that failed; the
    answer continues after them.  ``deadline_s`` limits the time to the first
    token.  ``first_try`` says that the caller never sent ``key`` before.
    """

    request_id: str
    caller: Caller
    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    received: tuple[int, ...] = ()
    key: str | None = None
    first_try: bool = False
    deadline_s: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request to a plain service.

    ``path`` is the part after the service name, with the query.
    ``first_try`` says that the caller never sent ``key`` before.
    """

    request_id: str
    caller: Caller
    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    key: str | None = None
    first_try: bool = False


class FinishReason(StrEnum):
    """Why an answer is complete, as in OpenAI's protocol."""

    STOP = 'stop'
    LENGTH = 'length'


class AnswerSink(Protocol):
    """Receiver of the tokens and the end of an answer."""

    def token(self, index: int, token: int) -> None:
        """Receive a token and its index in the answer, counted from 0."""

    def finished(self, reason: FinishReason) -> None:
        """Receive the end of a complete answer."""

    def failed(self, refusal: Refusal) -> None:
        """Receive the error that ends an incomplete answer."""


class RunningAnswer(Protocol):
    """Handle to an answer in progress."""

    def cancel(self) -> None:
        """Cancel the answer, for example when the caller disconnects."""

    def pause(self) -> None:
        """Stop producing tokens because the caller reads too slowly."""

    def resume(self) -> None:
        """Continue to produce tokens."""


@dataclass(frozen=True, slots=True)
class EntryRecommendation:
    """Recommended addresses, best first, and how long to cache them."""

    addresses: tuple[str, ...]
    ttl_s: float


@dataclass(frozen=True, slots=True)
class ReachableModel:
    """A model that the caller may use."""

    name: str
    version: str


class Gateway(Protocol):
    """Operations of the daemon that the HTTP API calls."""

    def authenticate(self, token: str) -> Result[Caller, Refusal]:
        """Return the caller that a bearer token identifies."""

    def models(self, caller: Caller) -> Sequence[ReachableModel]:
        """Return the models that the caller may use, sorted by name."""

    def recommend_entries(
        self, availability_zone: str | None
    ) -> EntryRecommendation:
        """Recommend entries, for the caller's availability zone if known."""

    def generate(
        self,
        req: GenerateRequest,
        sink: AnswerSink,
    ) -> RunningAnswer:
        """Admit and run a request; refusals too are passed to the sink."""

    async def call_service(
        self,
        req: ServiceRequest,
    ) -> Result[ServiceResponse, Refusal]:
        """Run one call to a plain service."""
