"""What the gossip controller asks the daemon to do."""

from dataclasses import dataclass

from foxtailhatch.core import Address
from foxtailhatch.membership.digest import Digest
from foxtailhatch.membership.entry_record import EntryChange


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Send a digest; ``reconnect`` says to replace the open connection."""

    address: Address
    digest: Digest
    reconnect: bool = False


@dataclass(frozen=True, slots=True)
class RequestConfiguration:
    """Ask a peer for its configuration, which is newer than our own."""

    address: Address
    version: int


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """A peer heard an endpoint say at ``observed_at`` that it leaves."""

    endpoint: str
    observed_at: float


GossipAction = SendDigest | RequestConfiguration | EndpointLeaving | EntryChange
