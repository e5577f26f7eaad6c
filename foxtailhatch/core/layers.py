"""Ranges of model layers and the rule that a chain of them must meet."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class LayerRange:
    """A half-open range of layers, ``first`` included and ``end`` not.

    >>> LayerRange(0, 4).covers(LayerRange(1, 3))
    True
    >>> len(LayerRange(2, 6))
    4
    """

    first: int
    end: int

    def __len__(self) -> int:
        """Return the number of layers in the range."""
        return self.end - self.first

    def covers(self, other: 'LayerRange') -> bool:
        """Tell whether every layer of ``other`` is in this range."""
        return self.first <= other.first and other.end <= self.end


def is_partition(ranges: Iterable[LayerRange], layer_count: int) -> bool:
    """Tell whether ``ranges``, in order, hold each layer exactly once.

    >>> is_partition([LayerRange(0, 2), LayerRange(2, 4)], 4)
    True
    >>> is_partition([LayerRange(0, 2), LayerRange(1, 4)], 4)
    False
    >>> is_partition([], 4)
    False
    """
    reached = 0
    for layers in ranges:
        if layers.first != reached or layers.end <= layers.first:
            return False
        reached = layers.end
    return reached == layer_count
