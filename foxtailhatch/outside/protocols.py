"""The outside systems, one small ``Protocol`` each.

Each has one adapter file beside this one; nothing else in the package knows
a wire format of theirs.  Coroutines are awaited on the one loop; they return
:class:`returns.result.Result` and raise only on a broken invariant.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from foxtailhatch.core import Address, Endpoint, Holding, LoadReport
from foxtailhatch.outside.frames import DownFrame, UpFrame


class PlatformFault(StrEnum):
    """How a call to an outside system failed.

    ``UNREACHABLE`` means that the call was certainly not carried out;
    ``NO_RESPONSE`` that it may or may not have been.
    """

    UNREACHABLE = 'unreachable'
    NO_RESPONSE = 'no_answer'
    REFUSED = 'refused'
    INVALID_RESPONSE = 'bad_answer'
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class PlatformError:
    """A failed call, with a plain sentence about it."""

    fault: PlatformFault
    message: str


class SessionListener(Protocol):
    """Whoever hears what comes from the engines' sessions."""

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Take one frame of a live session."""

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Learn that the session closed, failed or went silent."""


class EngineSession(Protocol):
    """One open session with one engine."""

    def send(self, frame: UpFrame) -> None:
        """Queue a frame; frames of one loop turn leave in one write."""

    def close(self) -> None:
        """Close the session; the listener hears no more of it."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Set the wished holdings of an engine, under a fencing number."""

    fence: int
    holdings: tuple[Holding, ...]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt block entered or left an engine's prefix cache."""

    number: int
    block: str
    present: bool


@dataclass(frozen=True, slots=True)
class CachePage:
    """Cache events after a number; ``gap`` when some were lost before."""

    events: tuple[CacheEvent, ...]
    gap: bool


class Engine(Protocol):
    """A model engine that holds layer ranges."""

    def open_session(
        self,
        endpoint: Endpoint,
        listener: SessionListener,
    ) -> EngineSession:
        """Open a session at once; a failure is told to the listener."""

    async def load_report(
        self,
        endpoint: Endpoint,
    ) -> Result[LoadReport, PlatformError]:
        """Return the engine's newest report."""

    async def order(
        self,
        endpoint: Endpoint,
        order: EngineOrder,
    ) -> Result[None, PlatformError]:
        """Send an order; ``REFUSED`` if its fencing number is old."""

    async def cache_events(
        self,
        endpoint: Endpoint,
        after: int,
    ) -> Result[CachePage, PlatformError]:
        """Return the cache events whose number is above ``after``."""


class CacheTransfer(Protocol):
    """Moves the KV cache of one stream's stage between engines."""

    async def export_cache(
        self,
        endpoint: Endpoint,
        stream: str,
    ) -> Result[bytes, PlatformError]:
        """Return the cache in the engines' own format."""

    async def import_cache(
        self,
        endpoint: Endpoint,
        stream: str,
        cache: bytes,
    ) -> Result[None, PlatformError]:
        """Give an engine a cache; a stage opened next goes on with it."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service; ``key`` is its idempotency key, if any."""

    method: str
    path: str
    body: bytes
    content_type: str
    key: str | None = None
    fence: int | None = None


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """What a plain service answered."""

    status: int
    body: bytes
    content_type: str


class PlainService(Protocol):
    """A plain service beside the engines."""

    async def call(
        self,
        endpoint: Endpoint,
        call: ServiceCall,
        timeout_s: float,
    ) -> Result[ServiceResponse, PlatformError]:
        """Send one call once; never retried in here."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a log stream; ``time`` is the log's wall time."""

    offset: int
    time: float
    body: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from an offset on; ``first`` and ``end`` bound what is kept."""

    records: tuple[LogRecord, ...]
    first: int
    end: int


class LogService(Protocol):
    """The platform's append-only log, with named streams."""

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[int, PlatformError]:
        """Append one record and return its offset in the stream."""

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int,
    ) -> Result[LogPage, PlatformError]:
        """Read from ``offset``, or from the oldest kept record after it."""


@dataclass(frozen=True, slots=True)
class LiveInstance:
    """One line of the live-instance list."""

    name: str
    address: Address
    availability_zone: str
    role: str
    leaving: bool
    accelerator: str = ''
    labels: Mapping[str, str] | None = None


class InstanceList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    async def instances(
        self,
    ) -> Result[Sequence[LiveInstance], PlatformError]:
        """Return the list as the platform now shows it."""


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def size_bytes(
        self,
        model: str,
        version: str,
    ) -> Result[int, PlatformError]:
        """Return the size of one layer's weights."""
