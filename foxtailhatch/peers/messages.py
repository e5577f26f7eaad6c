"""Messages between entries."""

from dataclasses import dataclass

from foxtailhatch.core import HybridTimestamp
from foxtailhatch.membership import Digest


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Request the active configuration, if newer than ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationPush:
    """A complete configuration, from the log up to ``through_offset``."""

    version: int
    through_offset: int
    body: bytes


@dataclass(frozen=True, slots=True)
class AccountUsage:
    """A client account's running requests and demand at one entry.

    ``demand`` is in requests per second, including refused requests.
    """

    account: str
    running: int
    demand: float


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of each client account at the reporting entry."""

    entry: str
    accounts: tuple[AccountUsage, ...]


@dataclass(frozen=True, slots=True)
class EndpointStreams:
    """Number of streams that one entry has open on an endpoint."""

    endpoint: str
    streams: int


@dataclass(frozen=True, slots=True)
class StreamsReport:
    """Open streams of the reporting entry, by endpoint."""

    entry: str
    endpoints: tuple[EndpointStreams, ...]


Message = (
    Digest
    | ConfigurationRequest
    | ConfigurationPush
    | UsageReport
    | StreamsReport
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with the hybrid-clock timestamp at which it was sent."""

    stamp: HybridTimestamp
    message: Message
