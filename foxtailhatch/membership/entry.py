"""Announcement of an entry, a router process, to its peers."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import Address


class EntryState(StrEnum):
    """State that an entry announces; only ``SERVING`` ones are recommended.

    A ``LEAVING`` entry still serves callers that have its address cached; a
    ``STOPPING`` entry refuses new requests.
    """

    SERVING = 'serving'
    LEAVING = 'leaving'
    STOPPING = 'stopping'


class Liveness(StrEnum):
    """Liveness of an entry as seen by the local failure detector."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry's announcement of itself.

    Only the entry itself raises ``incarnation`` (at each start, and to refute
    a suspicion) and ``heartbeat`` (at each change).  ``load`` is the share of
    its capacity in use, 1 when full.  ``failed_requests`` are fingerprints of
    requests under which it lost several endpoints.
    """

    name: str
    caller_address: Address
    peer_address: Address
    availability_zone: str
    region: str
    incarnation: int = 0
    heartbeat: int = 0
    state: EntryState = EntryState.SERVING
    load: float = 0
    configuration_version: int = 0
    failed_requests: tuple[str, ...] = ()

    def is_newer_than(self, other: 'Entry') -> bool:
        """Return whether this announcement is newer than ``other``."""
        mine = (self.incarnation, self.heartbeat)
        return mine > (other.incarnation, other.heartbeat)

    def equals_in_announced_fields(self, other: 'Entry') -> bool:
        """Return whether the fields that must spread promptly are equal.

        These are the incarnation, the state, the peer address and the requests
        under which endpoints failed.
        """
        return self._announced_fields() == other._announced_fields()

    def _announced_fields(self) -> tuple[object, ...]:
        return (
            self.incarnation,
            self.state,
            self.peer_address,
            self.failed_requests,
        )
