"""Offsets of the log that stay in order when it returns from an older copy.

A log that is restored from an older copy loses its latest records and gives out
their offsets again, in a new epoch.  Offsets inside this program carry the
epoch above the log's own offset, so that they never go back: to a reader the
restored records begin behind all those that it has read, and those between
count as lost.
"""

from typing import Final

OFFSET_BITS: Final = 40
MAX_OFFSET: Final = (1 << OFFSET_BITS) - 1
# An ordered offset has to fit the counts of the wire format between entries.
EPOCH_BITS: Final = 22
MAX_EPOCH: Final = (1 << EPOCH_BITS) - 1


def ordered_offset(epoch: int, offset: int) -> int:
    """Return the offset with its epoch.

    >>> ordered_offset(epoch=1, offset=3) > ordered_offset(epoch=0, offset=90)
    True
    """
    return (epoch << OFFSET_BITS) + offset


def epoch_of(ordered: int) -> int:
    """Return the epoch of an ordered offset."""
    return ordered >> OFFSET_BITS


def offset_in_epoch(ordered: int) -> int:
    """Return the log's own offset of an ordered one.

    >>> offset_in_epoch(ordered_offset(epoch=5, offset=8))
    8
    """
    return ordered & MAX_OFFSET
