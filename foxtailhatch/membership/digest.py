"""Digests that entries exchange to spread membership information."""

from dataclasses import dataclass
from enum import IntEnum

from foxtailhatch.membership.entry import Entry


class RequestedReply(IntEnum):
    """Reply that the sender of a digest requests."""

    NOTHING = 0
    DIGEST = 1
    ALL_ENTRIES = 2


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A claim that the given incarnation of an entry does not respond."""

    entry: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """A notice that an endpoint announced its leave ``age_s`` seconds ago.

    An age is sent instead of a timestamp because the clocks of entries
    differ.
    """

    endpoint: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Digest:
    """One message of a gossip exchange.

    It holds the sender's own record and a bounded selection of updates.
    ``members`` is the number of entries that the sender considers alive,
    itself included.
    """

    sender: Entry
    members: int = 1
    requested_reply: RequestedReply = RequestedReply.NOTHING
    entries: tuple[Entry, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    leaves: tuple[LeaveNotice, ...] = ()
