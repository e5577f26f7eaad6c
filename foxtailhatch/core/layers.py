"""Ranges of model layers, and the check that ranges partition a model."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class LayerRange:
    """A half-open range of layers, from ``first`` to before ``end``.

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
        """Return whether this range includes every layer of ``other``."""
        return self.first <= other.first and other.end <= self.end


def is_partition(ranges: Iterable[LayerRange], layer_count: int) -> bool:
    """Return whether ``ranges`` cover each layer once and in order.

    The layers are those from 0 to before ``layer_count``.

    >>> is_partition([LayerRange(0, 2), LayerRange(2, 4)], 4)
    True
    >>> is_partition([LayerRange(0, 2), LayerRange(1, 4)], 4)
    False
    >>> is_partition([], 4)
    False
    """
    next_layer = 0
    for layers in ranges:
        if layers.first != next_layer or layers.end <= layers.first:
            return False
        next_layer = layers.end
    return next_layer == layer_count
