"""What entries send each other."""

from dataclasses import dataclass

from foxtailhatch.core import Stamp
from foxtailhatch.membership import Digest


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Ask for the configuration in force, if newer than ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationPush:
    """A whole configuration, as of the log up to ``through_offset``."""

    version: int
    through_offset: int
    body: bytes


@dataclass(frozen=True, slots=True)
class AccountUsage:
    """A client account's answers in progress and its demand at one entry.

    ``demand`` is in requests a second, refused ones included.
    """

    account: str
    running: int
    demand: float


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What each client account uses at the entry that reports."""

    entry: str
    accounts: tuple[AccountUsage, ...]


@dataclass(frozen=True, slots=True)
class EndpointStreams:
    """How many streams one entry has open on an endpoint."""

    endpoint: str
    streams: int


@dataclass(frozen=True, slots=True)
class StreamsReport:
    """The streams that the reporting entry itself has open."""

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
    """A message with the hybrid-clock stamp of its sending."""

    stamp: Stamp
    message: Message
