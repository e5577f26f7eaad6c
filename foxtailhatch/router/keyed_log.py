"""What the router needs of a log that keeps the newest record of each key."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result


class Topic(StrEnum):
    """What the router follows or writes.

    Operators write the configuration and endpoints list themselves; entries
    tell each other of themselves, and of what they found at endpoints.
    """

    CONFIGURATION = 'configuration'
    ENDPOINTS = 'endpoints'
    ENTRIES = 'entries'
    OBSERVATIONS = 'findings'


class StoreFault(StrEnum):
    """Why a call to the store did not do what it should."""

    UNREACHABLE = 'unreachable'
    BUSY = 'busy'
    HISTORY_GONE = 'history_gone'
    REFUSED = 'refused'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key; ``None`` if the key was dropped."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records in the order of the log, and the offset to go on from."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class Membership:
    """A member's place in a group; the generation grows with each change."""

    generation: int
    is_holder: bool


class KeyedLog(Protocol):
    """A log with keys, and groups whose members share out its partitions."""

    async def read_latest(self, topic: Topic) -> Result[KeyedPage, StoreFault]:
        """Return the newest record of each key."""

    async def read(
        self,
        topic: Topic,
        offset: int,
        wait_s: float,
    ) -> Result[KeyedPage, StoreFault]:
        """Return the records from an offset on; wait for the first one."""

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,
    ) -> Result[None, StoreFault]:
        """Write the newest value of a key, or drop the key."""

    async def join(
        self,
        member: str,
        generation: int,
        lease_s: float,
    ) -> Result[Membership, StoreFault]:
        """Join the group whose holder decides, or stay in it."""

    async def leave(self, member: str) -> Result[None, StoreFault]:
        """Leave the group."""
