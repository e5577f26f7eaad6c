"""Orders that are planned or in progress, and what engines serve meanwhile."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointTable, LiveEndpoint
from foxtailhatch.placement import PlacementOrder
from foxtailhatch.placement.coverage import (
    ServedLayers,
    ServingEngine,
    common_layers,
)


@dataclass(slots=True)
class PendingOrder:
    """An order that is planned or in progress.

    It is sent at once, or at ``check_at`` if ``is_announced``.  ``order`` is
    ``None`` if another entry gave it or may have given one; ``held`` is then
    what the engine holds until the order is completed, and ``is_of_other`` is
    set if the engine has said that it carries one out.  ``number`` is how many
    orders the engine has accepted with this one, 0 until then.
    ``silent_since`` is when the first of the last reports was requested that
    all brought no answer.
    """

    endpoint: LiveEndpoint
    order: PlacementOrder | None
    planned_at: float
    check_at: float
    is_announced: bool = False
    held: LayerRange | None = None
    silent_since: float | None = None
    is_of_other: bool = False
    number: int = 0

    @property
    def layers(self) -> LayerRange | None:
        """Return the layers to plan with."""
        return self.held if self.order is None else self.order.layers

    @property
    def kept(self) -> LayerRange | None:
        """Return the layers that the engine runs until the order is done."""
        if self.order is None:
            return self.held
        return common_layers(self.endpoint.layers, self.order.layers)


def served_layers(
    endpoints: EndpointTable,
    service: str,
    layer_count: int,
    pending: Mapping[str, PendingOrder],
) -> ServedLayers:
    """Return what the engines of a service can run now.

    Engines that are dead or silent serve nothing.  Of one with a pending order
    only the layers count that it keeps.
    """
    serving = []
    for endpoint in endpoints.of_service(service):
        if endpoints.is_lost(endpoint.name):
            continue
        order = pending.get(endpoint.name)
        serving.append(
            ServingEngine(
                endpoint.name,
                endpoint.zone,
                _kept_layers(endpoint, order),
                is_leaving=not endpoints.accepts_work(endpoint),
                loading=None if order is None else order.layers,
            )
        )
    return ServedLayers(tuple(serving), layer_count)


def _kept_layers(
    endpoint: LiveEndpoint, order: PendingOrder | None
) -> LayerRange | None:
    """Return the layers that an engine can run now."""
    if order is None:
        return endpoint.layers
    kept = order.kept
    return None if kept is None else common_layers(endpoint.layers, kept)


def releases_layers(endpoint: LiveEndpoint, order: PlacementOrder) -> bool:
    """Return whether an engine gives up layers that it holds."""
    held = endpoint.layers
    return held is not None and not order.layers.covers(held)
