"""Plan a group again only if something that its plan depends on has changed.

Most groups stay as they are from one plan to the next, and the plan of all
groups of a large pool keeps the processor busy for long.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from foxtailhatch.placement.accelerators import Accelerator, PlacementOrder
from foxtailhatch.placement.plan import plan_placement
from foxtailhatch.placement.replicas import other_replicas_in_zone
from foxtailhatch.routes import Engine

Group = Sequence[Accelerator]


@dataclass(frozen=True, slots=True)
class _Basis:
    """All that the orders for a group depend on."""

    group: Group
    engine: Engine
    other_replicas: Group
    is_crowded: bool


@dataclass(frozen=True, slots=True)
class _Plan:
    basis: _Basis
    orders: list[PlacementOrder]


class GroupPlans:
    """The last plan of each group of one service."""

    def __init__(self) -> None:
        """Start without plans."""
        self._plans: dict[int, _Plan] = {}

    def orders(
        self,
        groups: Sequence[Group],
        engine: Engine,
        is_crowded: Callable[[Group], bool],
    ) -> list[list[PlacementOrder]]:
        """Return the orders for each group.

        ``is_crowded`` tells whether a group has little KV capacity left.  It is
        asked only for groups with accelerators that could be used.
        """
        last_plans = self._plans
        self._plans = {}
        for number, group in enumerate(groups):
            basis = _Basis(
                group,
                engine,
                other_replicas_in_zone(group, groups),
                _has_spare(group) and is_crowded(group),
            )
            known = last_plans.get(number)
            if known is None or known.basis != basis:
                known = _Plan(basis, _plan(basis))
            self._plans[number] = known
        return [plan.orders for plan in self._plans.values()]


def _plan(basis: _Basis) -> list[PlacementOrder]:
    return plan_placement(
        basis.group,
        basis.engine,
        basis.other_replicas,
        is_crowded=basis.is_crowded,
    )


def _has_spare(group: Group) -> bool:
    return any(
        accelerator.layers is None and not accelerator.has_pending_order
        for accelerator in group
    )
