"""Interface between the HTTP API and the daemon for operators."""

from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Result

from foxtailhatch.config import ConfigFault, Difference
from foxtailhatch.core import Mark, Refusal


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """A document that is to replace version ``made_from``.

    ``publication_id`` is the idempotency key: a retry sends the same one.
    """

    document: bytes
    made_from: int
    publication_id: str


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """The version that a publication was assigned."""

    version: int


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """The version in force is not the one that was edited."""

    in_force: int
    differences: tuple[Difference, ...] = ()


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """The document is invalid; ``faults`` lists every fault."""

    faults: tuple[ConfigFault, ...]


PublishRefusal = PublishConflict | InvalidDocument | Refusal


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """The version in force and its document, as JSON text."""

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class MarkRequest:
    """A mark on an instance; ``mark_id`` is the idempotency key."""

    instance: str
    mark: Mark
    mark_id: str


class Operations(Protocol):
    """Operations of the daemon that operators may call."""

    async def publish(
        self,
        req: PublishRequest,
    ) -> Result[PublishedVersion, PublishRefusal]:
        """Publish a document, and return when it is accepted or refused."""

    def configuration(self) -> ConfigurationInForce | None:
        """Return the configuration in force on this instance, if any."""

    async def mark(self, req: MarkRequest) -> Result[None, Refusal]:
        """Mark an instance, and return when the mark is in the log."""


@dataclass(frozen=True, slots=True)
class OperatorAccess:
    """The operator interface and the key that it requires."""

    operations: Operations
    key: bytes = field(repr=False)
