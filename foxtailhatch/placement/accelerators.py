"""Accelerators that layers are placed on, and orders to hold layers."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import LayerRange


@dataclass(frozen=True, slots=True)
class Accelerator:
    """The accelerator of one engine.

    ``layers`` is the range that it holds or has been ordered to hold, and
    ``has_pending_order`` is set until such an order is completed.
    """

    endpoint: str
    zone: str
    memory_mb: float
    step_factor: float
    layers: LayerRange | None = None
    has_pending_order: bool = False


class OrderReason(StrEnum):
    """Why an engine is ordered to hold other layers."""

    INITIAL_PLACEMENT = 'initial placement'
    LOST_LAYERS = 'lost layers'
    FULL_RELAYOUT = 'full re-layout'
    LOW_KV_CAPACITY = 'low KV capacity'
    REBALANCING = 'rebalancing'


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """The layers that an endpoint has to hold from now on."""

    endpoint: str
    layers: LayerRange
    reason: OrderReason
