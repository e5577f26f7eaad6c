"""An entry instance of the system as its peers know it."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import Address


class EntryState(StrEnum):
    """What an entry says of itself; only ``SERVING`` ones are advised.

    A ``LEAVING`` entry still serves callers that kept its address; a
    ``STOPPING`` one refuses new requests.
    """

    SERVING = 'serving'
    LEAVING = 'leaving'
    STOPPING = 'stopping'


class Liveness(StrEnum):
    """What others think of an entry."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry's account of itself.

    Only the entry itself raises ``incarnation`` (at each start, and to refute
    a suspicion) and ``heartbeat`` (at each change).  ``load`` is the share of its
    capacity in use, 1 when full.
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

    def is_newer_than(self, other: 'Entry') -> bool:
        """Tell whether this account was given after ``other``."""
        mine = (self.incarnation, self.heartbeat)
        return mine > (other.incarnation, other.heartbeat)

    def announces_as(self, other: 'Entry') -> bool:
        """Tell whether nothing that all must hear of differs."""
        mine = (self.incarnation, self.state, self.peer_address)
        return mine == (other.incarnation, other.state, other.peer_address)
