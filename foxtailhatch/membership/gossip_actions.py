"""Actions that the gossip controller returns for the daemon to execute."""

from dataclasses import dataclass

from foxtailhatch.core import Address
from foxtailhatch.membership.digest import Digest
from foxtailhatch.membership.entry_record import EntryChange


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Send a digest; ``reconnect`` replaces the open connection."""

    address: Address
    digest: Digest
    reconnect: bool = False


@dataclass(frozen=True, slots=True)
class RequestConfiguration:
    """Request a peer's configuration, newer than the local ``version``."""

    address: Address
    version: int


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """A peer reported that an endpoint leaves, observed at ``observed_at``."""

    endpoint: str
    observed_at: float


GossipAction = SendDigest | RequestConfiguration | EndpointLeaving | EntryChange
