"""Placement of the model's layers on accelerators."""

from foxtailhatch.placement.accelerators import (
    Accelerator,
    OrderReason,
    PlacementOrder,
)
from foxtailhatch.placement.group_plans import GroupPlans
from foxtailhatch.placement.groups import zone_groups
from foxtailhatch.placement.partitioning import partition_layers
from foxtailhatch.placement.plan import plan_placement
from foxtailhatch.placement.replicas import (
    ModelReplicas,
    other_replicas_in_zone,
)
from foxtailhatch.placement.reports import EngineReport, StalledRequest

__all__ = [
    'Accelerator',
    'EngineReport',
    'GroupPlans',
    'PlacementOrder',
    'ModelReplicas',
    'OrderReason',
    'StalledRequest',
    'other_replicas_in_zone',
    'plan_placement',
    'partition_layers',
    'zone_groups',
]
