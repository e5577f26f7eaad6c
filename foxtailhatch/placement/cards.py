"""The accelerators that a plan places layers on, and the orders it gives."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import LayerRange


@dataclass(frozen=True, slots=True)
class Card:
    """One engine's accelerator; ``layers`` it holds or was ordered to hold.

    ``is_settling`` is set while an order is in progress.
    """

    endpoint: str
    zone: str
    memory_mb: float
    step_factor: float
    layers: LayerRange | None = None
    is_settling: bool = False


class OrderReason(StrEnum):
    """Why layers are placed."""

    FIRST_PLAN = 'first plan'
    LOST_LAYERS = 'lost layers'
    LAID_OUT_ANEW = 'laid out anew'
    LITTLE_ROOM = 'little room'
    EVENED_OUT = 'evened out'


@dataclass(frozen=True, slots=True)
class LayerOrder:
    """What an endpoint is to hold from now on, and why."""

    endpoint: str
    layers: LayerRange
    reason: OrderReason
