"""Activations retained at the boundaries between stages.

All activations pass through the entry, which retains them.  After a stage
fails, its replacement is prefilled from them, so that the stages before it
need not run the prefix again.
"""

from dataclasses import dataclass, field

from foxtailhatch.outside.frames import Activation

RETAINED_BYTES = 4_194_304


@dataclass(slots=True)
class BoundaryInputs:
    """The retained inputs of one layer, from position ``first`` on."""

    first: int = 0
    activations: list[Activation] = field(default_factory=list)

    @property
    def end(self) -> int:
        """Return the position after the last retained one."""
        return self.first + len(self.activations)

    def covers(self, position: int) -> bool:
        """Return whether the activation of ``position`` is retained."""
        return self.first <= position < self.end

    def put(self, position: int, activations: tuple[Activation, ...]) -> int:
        """Add activations from ``position`` on; return the bytes added."""
        if not self.first <= position <= self.end:
            self.first = position
            self.activations = []
        added = activations[self.end - position :]
        self.activations.extend(added)
        return sum(map(len, added))

    def from_position(self, position: int) -> tuple[Activation, ...]:
        """Return the retained activations from ``position`` on."""
        return tuple(self.activations[position - self.first :])


class RetainedInputs:
    """The retained activations of one answer, by the layer they are inputs of.

    Above ``limit_bytes`` all of them are dropped and no more are retained: a
    recovery then runs the prefix again on every stage.

    >>> kept = RetainedInputs(limit_bytes=8)
    >>> kept.put(4, 0, ('aa', 'bb'))
    >>> kept.at(4).end
    2
    >>> kept.put(4, 2, ('cccccc',))
    >>> kept.at(4).end
    0
    """

    def __init__(self, limit_bytes: int = RETAINED_BYTES) -> None:
        """Start with no activations."""
        self._limit_bytes = limit_bytes
        self._bytes = 0
        self._boundaries: dict[int, BoundaryInputs] = {}

    def at(self, layer: int) -> BoundaryInputs:
        """Return the retained inputs of ``layer``, empty if there are none."""
        return self._boundaries.get(layer, BoundaryInputs())

    def put(
        self,
        layer: int,
        position: int,
        activations: tuple[Activation, ...],
    ) -> None:
        """Retain inputs of ``layer`` from ``position`` on."""
        if self._bytes > self._limit_bytes:
            return
        boundary = self._boundaries.setdefault(layer, BoundaryInputs(position))
        self._bytes += boundary.put(position, activations)
        if self._bytes > self._limit_bytes:
            self._boundaries.clear()
