"""Interfaces to external systems, one ``Protocol`` each.

Each system has one adapter module in this package, the only one that uses its
wire format.  Coroutines return :class:`returns.result.Result` and raise only
if an invariant is broken.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from foxtailhatch.core import Address, Endpoint, Holding, LoadReport
from foxtailhatch.outside.frames import DownFrame, UpFrame


class PlatformFault(StrEnum):
    """How a call to an external system failed.

    ``UNREACHABLE`` means that the call was not carried out, ``NO_RESPONSE``
    that it may have been.  ``NO_MEMORY`` means that this process could not hold
    the response.
    """

    UNREACHABLE = 'unreachable'
    NO_RESPONSE = 'no_answer'
    REFUSED = 'refused'
    INVALID_RESPONSE = 'bad_answer'
    EXPIRED = 'expired'
    NO_MEMORY = 'no_memory'


@dataclass(frozen=True, slots=True)
class PlatformError:
    """A failed call and an error message."""

    fault: PlatformFault
    message: str


class SessionListener(Protocol):
    """Receiver of the frames and losses of engine sessions."""

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Receive a frame of an open session."""

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Receive the reason why a session closed, failed or timed out."""


class EngineSession(Protocol):
    """An open session with an engine."""

    def send(self, frame: UpFrame) -> None:
        """Queue a frame; all frames of a loop iteration are sent in one write."""

    def close(self) -> None:
        """Close the session; the listener is not called any more."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Set the desired holdings of an engine, with a fencing token."""

    fence: int
    holdings: tuple[Holding, ...]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt block was added to or removed from a prefix cache."""

    number: int
    block: str
    present: bool


@dataclass(frozen=True, slots=True)
class CachePage:
    """Cache events after a number; ``gap`` if earlier ones were lost."""

    events: tuple[CacheEvent, ...]
    gap: bool


class Engine(Protocol):
    """Client of model engines."""

    def open_session(
        self,
        endpoint: Endpoint,
        listener: SessionListener,
    ) -> EngineSession:
        """Open a session at once; failures are reported to the listener."""

    async def load_report(
        self,
        endpoint: Endpoint,
    ) -> Result[LoadReport, PlatformError]:
        """Return the latest load report of the engine."""

    async def order(
        self,
        endpoint: Endpoint,
        order: EngineOrder,
    ) -> Result[None, PlatformError]:
        """Send an order; fails with ``REFUSED`` if its fencing token is old."""

    async def cache_events(
        self,
        endpoint: Endpoint,
        after: int,
    ) -> Result[CachePage, PlatformError]:
        """Return the cache events with a number above ``after``."""


class CacheTransfer(Protocol):
    """Transfers the KV cache of a stream between engines."""

    async def export_cache(
        self,
        endpoint: Endpoint,
        stream: str,
    ) -> Result[bytes, PlatformError]:
        """Return the cache in the format of the engines."""

    async def import_cache(
        self,
        endpoint: Endpoint,
        stream: str,
        cache: bytes,
    ) -> Result[None, PlatformError]:
        """Store a cache in an engine for the next stage of the stream."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service; ``key`` is its idempotency key, if any."""

    method: str
    path: str
    body: bytes
    content_type: str
    key: str | None = None
    fence: int | None = None


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Response of a plain service."""

    status: int
    body: bytes
    content_type: str


class PlainService(Protocol):
    """Client of services that are not model engines."""

    async def call(
        self,
        endpoint: Endpoint,
        call: ServiceCall,
        timeout_s: float,
    ) -> Result[ServiceResponse, PlatformError]:
        """Send a call once, without retries."""


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record of a log stream; ``time`` is the wall time of the log."""

    offset: int
    time: float
    body: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from an offset on.

    ``first`` is the offset of the oldest retained record, ``end`` the offset
    after the last one.
    """

    records: tuple[LogRecord, ...]
    first: int
    end: int


class LogService(Protocol):
    """Client of the platform's append-only log with named streams."""

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
        """Read from ``offset``, or from the oldest retained record after it."""


@dataclass(frozen=True, slots=True)
class LiveInstance:
    """A row of the platform's instance list."""

    name: str
    address: Address
    availability_zone: str
    role: str
    leaving: bool
    accelerator: str = ''
    labels: Mapping[str, str] | None = None


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which lags behind."""

    async def instances(
        self,
    ) -> Result[Sequence[LiveInstance], PlatformError]:
        """Return the list as the platform currently shows it."""


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def size_bytes(
        self,
        model: str,
        version: str,
    ) -> Result[int, PlatformError]:
        """Return the size of one layer's weights."""
