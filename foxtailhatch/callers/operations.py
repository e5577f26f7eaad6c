"""What the operators' paths ask of the daemon, as one ``Protocol``."""

from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Result

from foxtailhatch.config import ConfigFault, Difference
from foxtailhatch.core import Mark, Refusal


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """A document that shall replace version ``made_from``.

    ``publication_id`` stays the same when the operator tries again.
    """

    document: bytes
    made_from: int
    publication_id: str


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """The version that a publication became."""

    version: int


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Another version is in force than the one that was edited."""

    in_force: int
    differences: tuple[Difference, ...] = ()


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """The document breaks rules; every fault is named."""

    faults: tuple[ConfigFault, ...]


PublishRefusal = PublishConflict | InvalidDocument | Refusal


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A version and its document, as JSON text."""

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class MarkRequest:
    """A mark on an instance; ``mark_id`` stays the same on a second try."""

    instance: str
    mark: Mark
    mark_id: str


class Operations(Protocol):
    """The daemon as operators see it."""

    async def publish(
        self,
        req: PublishRequest,
    ) -> Result[PublishedVersion, PublishRefusal]:
        """Publish a document, and return once it is decided."""

    def configuration(self) -> ConfigurationInForce | None:
        """Return what is in force on this instance, if anything is."""

    async def mark(self, req: MarkRequest) -> Result[None, Refusal]:
        """Mark an instance, and return once the mark is in the log."""


@dataclass(frozen=True, slots=True)
class OperatorAccess:
    """What operators may do, and the key that shows who is one."""

    operations: Operations
    key: bytes = field(repr=False)
