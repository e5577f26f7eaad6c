"""Interface of the store: a log that keeps the latest record of each key."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result


class Topic(StrEnum):
    """Topics that the router reads or writes.

    The configuration and the list of endpoints are written by the operators'
    platform; heartbeats of entries and observations of endpoints are written
    by the entries.
    """

    CONFIGURATION = 'configuration'
    ENDPOINTS = 'endpoints'
    ENTRIES = 'entries'
    OBSERVATIONS = 'findings'


# Topics whose records are passed on at once.
URGENT = frozenset((Topic.CONFIGURATION, Topic.OBSERVATIONS))


class StoreFault(StrEnum):
    """Reason for which a call to the store failed.

    ``HISTORY_GONE`` means that the records at the requested offset are no
    longer retained.
    """

    UNREACHABLE = 'unreachable'
    BUSY = 'busy'
    HISTORY_GONE = 'history_gone'
    REFUSED = 'refused'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The value of a key; ``None`` is a tombstone that deletes the key."""

    key: str
    value: bytes | None

    @property
    def size_bytes(self) -> int:
        """Return the size of key and value in bytes, if the key is ASCII."""
        return len(self.key) + len(self.value or b'')


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """The offset of a record within an epoch of the store.

    The epoch grows each time the store returns from an older copy of itself
    and gives out the offsets since then again, so it precedes the offset:

    >>> LogPosition(epoch=1, offset=900) < LogPosition(epoch=2, offset=4)
    True
    """

    epoch: int
    offset: int


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records in log order, and the position at which the next read starts.

    A page has a limited size: unless it ``is_complete``, more records had been
    written when the store read it.
    """

    records: tuple[KeyedRecord, ...]
    end: LogPosition
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class Membership:
    """Membership in the lease group.

    ``generation`` increases with each change of members within an ``epoch``
    of the store; ``is_holder`` is true for the member that holds the lease.
    """

    generation: int
    is_holder: bool
    epoch: int = 0


class KeyedLog(Protocol):
    """A log with keys, and a group of members of which one holds a lease."""

    async def read_latest(self, topic: Topic) -> Result[KeyedPage, StoreFault]:
        """Return a snapshot: the latest record of each key."""

    async def read(
        self,
        topic: Topic,
        offset: int,
        wait_s: float,
    ) -> Result[KeyedPage, StoreFault]:
        """Return the records from ``offset`` on, or the first page of them.

        If there are none yet, wait up to ``wait_s`` seconds for the first.
        """

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,
    ) -> Result[None, StoreFault]:
        """Write the value of a key; ``None`` deletes the key."""

    async def join(
        self,
        member: str,
        generation: int,
        lease_s: float,
    ) -> Result[Membership, StoreFault]:
        """Join the lease group, or renew the membership for ``lease_s``."""

    async def leave(self, member: str) -> Result[None, StoreFault]:
        """Leave the lease group; a lease that the member holds is released."""

    async def holder(self) -> Result[str, StoreFault]:
        """Return the name of the member that holds the lease, if any, or ''."""
