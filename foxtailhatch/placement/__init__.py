"""Which engine holds which layers of the model."""

from foxtailhatch.placement.cards import Card, LayerOrder, OrderReason
from foxtailhatch.placement.copies import ModelCopies, beside
from foxtailhatch.placement.groups import zone_groups
from foxtailhatch.placement.plan import plan_orders
from foxtailhatch.placement.reports import EngineReport, StalledRequest
from foxtailhatch.placement.tiling import tile

__all__ = [
    'Card',
    'EngineReport',
    'LayerOrder',
    'ModelCopies',
    'OrderReason',
    'StalledRequest',
    'beside',
    'plan_orders',
    'tile',
    'zone_groups',
]
