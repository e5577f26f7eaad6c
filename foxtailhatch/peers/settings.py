"""Settings and counters of a peer node."""

from dataclasses import dataclass, field

from foxtailhatch.peers.handshake import PeerIdentity
from foxtailhatch.peers.pool import LINKS_MAX


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Identity of a node, the key shared by all entries, and the link limit."""

    identity: PeerIdentity
    key: bytes = field(repr=False)
    links_max: int = LINKS_MAX


@dataclass(slots=True)
class PeerCounters:
    """Counters of link activity, for the metrics."""

    links_opened: int = 0
    links_refused: int = 0
    frames_received: int = 0
    frames_rejected: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0
    messages_dropped: int = 0
