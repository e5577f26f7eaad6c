"""The accelerators that a plan places layers on, and the orders it gives."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import LayerRange


@dataclass(frozen=True, slots=True)
class Accelerator:
    """One engine's accelerator; ``layers`` it holds or was ordered to hold.

    ``is_settling`` is set while an order is in progress.
    """

    endpoint: str
    zone: str
    memory_mb: float
    step_factor: float
    layers: LayerRange | None = None
    has_pending_order: bool = False


class OrderReason(StrEnum):
    """Why layers are placed."""

    INITIAL_PLACEMENT = 'first plan'
    LOST_LAYERS = 'lost layers'
    FULL_RELAYOUT = 'laid out anew'
    LOW_KV_CAPACITY = 'little room'
    REBALANCING = 'evened out'


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """What an endpoint is to hold from now on, and why."""

    endpoint: str
    layers: LayerRange
    reason: OrderReason
