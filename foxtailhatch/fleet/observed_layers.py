"""Layers that endpoints were found to hold before the list says so."""

from dataclasses import dataclass

from foxtailhatch.core import LayerRange

# For so long the list may still say what an endpoint held before.  Source: two
# heartbeats of endpoints.
LIST_LAG_S = 2.5
# An endpoint that gives layers up refuses them while the list still has them,
# until all that passes through them has ended.  Source: after this time an
# order that nobody has seen done is planned anew.
RELEASE_MAX_S = 8.0


@dataclass(frozen=True, slots=True)
class _Held:
    layers: LayerRange | None
    since: float
    listed: LayerRange | None

    def is_part(self) -> bool:
        """Tell whether the endpoint holds less than the list says."""
        if self.layers is None or self.listed is None:
            return self.layers is None
        return self.listed.covers(self.layers) and self.layers != self.listed


class ObservedLayers:
    """What was found, as long as it is better than the list.

    >>> held = ObservedLayers()
    >>> held.found('e1', None, listed=LayerRange(0, 4), now=0)
    >>> held.newer_than('e1', LayerRange(0, 4), now=1)
    (True, None)
    >>> held.newer_than('e1', LayerRange(0, 4), now=9)
    (False, None)
    """

    def __init__(self) -> None:
        """Start with nothing found."""
        self._held: dict[str, _Held] = {}

    def found(
        self,
        name: str,
        layers: LayerRange | None,
        listed: LayerRange | None,
        now: float,
    ) -> None:
        """Note what an endpoint holds, and what the list says of it."""
        self._held[name] = _Held(layers, now, listed)

    def forget(self, name: str) -> None:
        """Drop what was found at an endpoint."""
        self._held.pop(name, None)

    def newer_than(
        self,
        name: str,
        listed: LayerRange | None,
        now: float,
    ) -> tuple[bool, LayerRange | None]:
        """Tell whether something newer than the list is known, and what."""
        held = self._held.get(name)
        if held is None:
            return False, None
        is_giving_up = held.is_part() and listed == held.listed
        better_for_s = RELEASE_MAX_S if is_giving_up else LIST_LAG_S
        if now - held.since < better_for_s:
            return True, held.layers
        self.forget(name)
        return False, None
