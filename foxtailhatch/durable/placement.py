"""What is loaded where, decided from measured demand with hysteresis.

A group of endpoints is grown only after it was overloaded for a while, and
only by an endpoint whose own group would stay well below that load without
it, also if its latest peak came back, and a new controller watches for a while before it takes an endpoint
from a model that has one.  So the plan follows a lasting shift and does not swing with demand.
"""

from collections.abc import Iterator, Mapping
from dataclasses import replace
from functools import partial

from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.durable.fleet import FleetView, Groups, gaps
from foxtailhatch.durable.holding_plan import (
    HoldingChange,
    next_update,
    plans_by_model,
    spare_endpoints,
)

HIGH_LOAD = 0.8
DONOR_LOAD = 0.5
HIGH_FOR_S = 30.0
WATCH_S = 300.0
PAUSE_S = 60.0
PEAK_HALF_LIFE_S = 600.0


class PlacementController:
    """Propose one move at a time to the holder of the placement lease."""

    def __init__(self, now: float) -> None:
        """Start at ``now`` without a memory of load or moves."""
        self._high_since: dict[Holding, float] = {}
        self._peaks: dict[str, float] = {}
        self._remembered_at = now
        self._watching_since = now

    def step(self, now: float, view: FleetView) -> HoldingChange | None:
        """Return the next move, if any is due.

        First all models get their layers, then versions and adapters are
        brought up to date, then load is evened out.
        """
        self._remember(now, view.demand)
        groups = Groups(view)
        return next(self._moves(now, view, groups), None)

    def _moves(
        self,
        now: float,
        view: FleetView,
        groups: Groups,
    ) -> Iterator[HoldingChange]:
        plans = plans_by_model(view.plan)
        for gap in gaps(view, plans):
            yield from self._filled(view, groups, gap)
        for need in view.needs:
            plan = plans.get(need.name, {})
            yield from next_update(need, plan, view.settled)
        for holding in self._overloaded(now, view, groups):
            yield from self._grown(now, view, groups, holding)

    def _filled(
        self,
        view: FleetView,
        groups: Groups,
        gap: Holding,
    ) -> Iterator[HoldingChange]:
        """Give layers that nobody holds to a spare endpoint or a donor."""
        spare = view.largest(spare_endpoints(view.needs, view.plan))
        donor = spare or self._donor(view, groups, gap)
        if donor:
            first = gap.layers.first
            end = first + view.capacities[donor].layers
            layers = LayerRange(first, min(gap.layers.end, end))
            yield HoldingChange(donor, replace(gap, layers=layers))

    def _overloaded(
        self,
        now: float,
        view: FleetView,
        groups: Groups,
    ) -> list[Holding]:
        """Return the groups that were overloaded for long, worst first."""
        loads = {
            holding: groups.load(holding, view.demand)
            for holding in groups.members
        }
        self._high_since = {
            holding: self._high_since.get(holding, now)
            for holding, load in loads.items()
            if load > HIGH_LOAD
        }
        lasting = [
            holding
            for holding, since in self._high_since.items()
            if now >= since + HIGH_FOR_S
        ]
        return sorted(lasting, key=loads.__getitem__, reverse=True)

    def _grown(
        self,
        now: float,
        view: FleetView,
        groups: Groups,
        holding: Holding,
    ) -> Iterator[HoldingChange]:
        spares = spare_endpoints(view.needs, view.plan)
        fitting = [name for name in spares if view.fits(name, holding)]
        donor = view.largest(fitting)
        if donor is None and now >= self._watching_since + WATCH_S:
            donor = self._donor(view, groups, holding)
        if donor:
            # The group shows the effect before it may grow again.
            self._high_since[holding] = now
            yield HoldingChange(donor, holding)

    def _donor(
        self,
        view: FleetView,
        groups: Groups,
        wanted: Holding,
    ) -> str | None:
        """Return an endpoint whose group bears its load well without it."""
        fits = partial(view.fits, wanted=wanted)
        loads: list[tuple[float, str]] = []
        for holding, members in groups.members.items():
            if holding == wanted or len(members) == 1:
                continue
            donor = next(filter(fits, members), None)
            if donor:
                load = groups.load(holding, self._peaks, donor)
                loads.append((load, donor))
        lowest, least_loaded = min(loads, default=(DONOR_LOAD, ''))
        return least_loaded if lowest < DONOR_LOAD else None

    def _remember(self, now: float, demand: Mapping[str, float]) -> None:
        """Keep the peak of each demand, which fades by half in a while."""
        elapsed_s = now - self._remembered_at
        if elapsed_s > PAUSE_S:
            # Another holder decided meanwhile; its peaks are not known here.
            self._watching_since = now
            self._high_since.clear()
        faded = 2 ** (-elapsed_s / PEAK_HALF_LIFE_S)
        self._remembered_at = now
        self._peaks = {
            model: max(
                demand.get(model, 0),
                self._peaks.get(model, 0) * faded,
            )
            for model in self._peaks.keys() | demand.keys()
        }
