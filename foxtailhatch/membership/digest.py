"""What entries tell each other about the membership."""

from dataclasses import dataclass
from enum import IntEnum

from foxtailhatch.membership.entry import Entry


class Want(IntEnum):
    """What the sender of a digest wants back."""

    NOTHING = 0
    ANSWER = 1
    EVERYTHING = 2


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A claim that this incarnation of an entry does not answer."""

    entry: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """An endpoint said ``age_s`` seconds ago that it leaves.

    An age is sent in place of a time, as the clocks of entries differ.
    """

    endpoint: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Digest:
    """One side of an exchange: the sender itself, and a bounded choice.

    ``members`` is how many entries the sender thinks alive, itself included.
    """

    sender: Entry
    members: int = 1
    want: Want = Want.NOTHING
    entries: tuple[Entry, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    leaves: tuple[LeaveNotice, ...] = ()
