"""What the HTTP front asks of the daemon, as one ``Protocol``."""

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

    ``prompt`` is a sequence of token ids.  ``received`` holds the answer's
    tokens that the caller already has from an entry that died; the answer
    goes on after them.  ``deadline_s`` bounds the wait for the first token.
    ``first_try`` is the caller's word that it never sent ``key`` before.
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
    """A request for a plain service; ``path`` is what follows its name.

    ``first_try`` is the caller's word that it never sent ``key`` before.
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
    """Why an answer is complete, in the words of the callers' protocol."""

    STOP = 'stop'
    LENGTH = 'length'


class AnswerSink(Protocol):
    """Where an answer goes, token by token."""

    def token(self, index: int, token: int) -> None:
        """Take the answer's token number ``index``, counted from 0."""

    def finished(self, reason: FinishReason) -> None:
        """Learn that the answer is complete."""

    def failed(self, refusal: Refusal) -> None:
        """Learn that the answer ends here without being complete."""


class RunningAnswer(Protocol):
    """An answer in progress, as the front holds it."""

    def cancel(self) -> None:
        """Stop the answer, as when the caller hung up."""

    def pause(self) -> None:
        """Stop producing tokens: the caller reads too slowly."""

    def resume(self) -> None:
        """Go on producing tokens."""


@dataclass(frozen=True, slots=True)
class EntryRecommendation:
    """Addresses to use, best first, and how long they may be kept."""

    addresses: tuple[str, ...]
    ttl_s: float


@dataclass(frozen=True, slots=True)
class ReachableModel:
    """A model that the caller may reach."""

    name: str
    version: str


class Gateway(Protocol):
    """The daemon as the HTTP front sees it."""

    def authenticate(self, token: str) -> Result[Caller, Refusal]:
        """Return the caller that a bearer token names."""

    def models(self, caller: Caller) -> Sequence[ReachableModel]:
        """Return the models the caller may reach, sorted by name."""

    def recommend_entries(
        self, availability_zone: str | None
    ) -> EntryRecommendation:
        """Return the entries to use, for a caller in a zone if known."""

    def generate(
        self,
        req: GenerateRequest,
        sink: AnswerSink,
    ) -> RunningAnswer:
        """Admit and run a request; refusals go to the sink too."""

    async def call_service(
        self,
        req: ServiceRequest,
    ) -> Result[ServiceResponse, Refusal]:
        """Run one call of a plain service."""
