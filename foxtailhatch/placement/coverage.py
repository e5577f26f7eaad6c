"""Keep a copy of each layer that engines serve while a plan is carried out.

An engine gives up layers as soon as it accepts an order, and it serves the new
ones only once it has loaded them.  So a plan that is right as a whole may
leave a layer without an engine for the time of a load.  The orders of a plan
are admitted one after the other, each against what the engines serve then.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import PlacementOrder


@dataclass(frozen=True, slots=True)
class ServingEngine:
    """An engine, and the layers that it can run now.

    One that ``is_leaving`` still serves, but gets no new requests.  What it is
    ``loading`` may be served already, as reports come some time later.
    """

    endpoint: str
    zone: str
    layers: LayerRange | None
    is_leaving: bool = False
    loading: LayerRange | None = None


@dataclass(frozen=True, slots=True)
class ServedLayers:
    """The layers that engines of one service can run now.

    >>> served = ServedLayers(
    ...     (
    ...         ServingEngine('e1', 'z1', LayerRange(0, 4)),
    ...         ServingEngine('e2', 'z1', LayerRange(2, 8)),
    ...     ),
    ...     layer_count=8,
    ... )
    >>> sorted(served.last_copies('e1', LayerRange(2, 6)))
    [0, 1]
    """

    engines: tuple[ServingEngine, ...]
    layer_count: int

    def last_copies(self, endpoint: str, ordered: LayerRange) -> frozenset[int]:
        """Return the layers of which an order would take away the last copy.

        Only engines that stay count, since the others get no new requests.  A
        zone that lacks a layer has no chain of its own, so that its other
        layers may go, as long as all zones together keep a chain.
        """
        target = next(
            (other for other in self.engines if other.endpoint == endpoint),
            None,
        )
        if target is None:
            return frozenset()
        released = _indexes(target.layers) - _indexes(ordered)
        if not released or target.is_leaving:
            return frozenset()
        in_zone = [other for other in self.engines if other.zone == target.zone]
        return self._lost(released, target, in_zone) | self._lost(
            released, target, self.engines
        )

    def held_by(self, endpoint: str) -> LayerRange | None:
        """Return what an engine can run now."""
        return next(
            (
                other.layers
                for other in self.engines
                if other.endpoint == endpoint
            ),
            None,
        )

    def holding(
        self, endpoint: str, layers: LayerRange | None
    ) -> 'ServedLayers':
        """Return what is served if an engine runs ``layers``."""
        return replace(
            self,
            engines=tuple(
                replace(other, layers=layers)
                if other.endpoint == endpoint
                else other
                for other in self.engines
            ),
        )

    def is_whole(self, zone: str) -> bool:
        """Return whether a zone serves every layer."""
        return self.least_copies(zone) > 0

    def least_copies(self, zone: str) -> int:
        """Return how many engines of a zone that stay hold the rarest layer."""
        counts = [0 for _ in range(self.layer_count)]
        for other in self.engines:
            if other.zone == zone and not other.is_leaving:
                for layer in _indexes(other.layers):
                    if layer < self.layer_count:
                        counts[layer] += 1
        return min(counts, default=0)

    def has_chain(self) -> bool:
        """Return whether the engines that stay serve every layer together."""
        held = frozenset[int]().union(
            *(
                _indexes(other.layers)
                for other in self.engines
                if not other.is_leaving
            )
        )
        return held.issuperset(range(self.layer_count))

    def _lost(
        self,
        released: frozenset[int],
        target: ServingEngine,
        engines: Iterable[ServingEngine],
    ) -> frozenset[int]:
        """Return the released layers that no other engine here keeps.

        It is empty if the engines do not serve the whole model, nor will once
        the loads under way are done.
        """
        others = [
            other
            for other in engines
            if other is not target and not other.is_leaving
        ]
        kept = frozenset[int]().union(
            *(_indexes(other.layers) for other in others)
        )
        held = kept.union(
            _indexes(target.layers),
            *(_indexes(other.loading) for other in others),
        )
        is_whole = held.issuperset(range(self.layer_count))
        return released - kept if is_whole else frozenset()


def admit(
    order: PlacementOrder, served: ServedLayers, layers_max: int
) -> PlacementOrder | None:
    """Return an order that takes away no last copy, or ``None``.

    An engine that has to keep layers for now may load the new ones beside them
    (:func:`beside`); a later plan lets it give the old ones up.
    """
    if not served.last_copies(order.endpoint, order.layers):
        return order
    return beside(order, served.held_by(order.endpoint), layers_max)


def beside(
    order: PlacementOrder, held: LayerRange | None, layers_max: int
) -> PlacementOrder | None:
    """Return the order to hold new layers beside all present ones.

    These are as many of the new layers as adjoin the present ones and leave the
    engine with ``layers_max`` or fewer.  Return ``None`` if there are none.
    """
    if held is None:
        return order
    if held.end < order.layers.first or order.layers.end < held.first:
        return None
    free = max(0, layers_max - len(held))
    end = min(max(held.end, order.layers.end), held.end + free)
    free -= end - held.end
    first = max(min(held.first, order.layers.first), held.first - free)
    both = LayerRange(first, end)
    return None if both == held else replace(order, layers=both)


def common_layers(
    held: LayerRange | None, other: LayerRange
) -> LayerRange | None:
    """Return the layers that are in both ranges, if any.

    >>> common_layers(LayerRange(0, 4), LayerRange(2, 6))
    LayerRange(first=2, end=4)
    """
    if held is None:
        return None
    first = max(held.first, other.first)
    end = min(held.end, other.end)
    return LayerRange(first, end) if end > first else None


def _indexes(layers: LayerRange | None) -> frozenset[int]:
    if layers is None:
        return frozenset()
    return frozenset(range(layers.first, layers.end))
