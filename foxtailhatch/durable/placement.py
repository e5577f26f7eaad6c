"""Placement of models on endpoints by measured demand, with hysteresis.

A group of endpoints is grown only after a sustained overload, and only by an
endpoint whose own group would stay well below that load without it, even if
its latest peak recurred.  A new controller observes demand for some time
before it takes an endpoint from another group.  So the plan follows lasting
shifts of demand and doesn't oscillate with it.
"""

from collections.abc import Iterator, Mapping
from dataclasses import replace
from functools import partial

from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.durable.fleet import (
    EndpointGroups,
    FleetView,
    uncovered_holdings,
)
from foxtailhatch.durable.holding_plan import (
    HoldingChange,
    plans_by_model,
    rollout_changes,
    spare_endpoints,
)

OVERLOAD_THRESHOLD = 0.8
MAX_DONOR_LOAD = 0.5
MIN_OVERLOAD_S = 30.0
OBSERVATION_S = 300.0
MAX_STEP_INTERVAL_S = 60.0
PEAK_HALF_LIFE_S = 600.0


class PlacementController:
    """Propose one change at a time to the holder of the placement lease."""

    def __init__(self, now: float) -> None:
        """Start at ``now`` without recorded loads."""
        self._overloaded_since: dict[Holding, float] = {}
        self._peaks: dict[str, float] = {}
        self._updated_at = now
        self._observing_since = now

    def step(self, now: float, view: FleetView) -> HoldingChange | None:
        """Return the next change, if any is due.

        Uncovered layers come first, then updates of versions and adapters,
        then load balancing.
        """
        self._update_peaks(now, view.demand)
        groups = EndpointGroups(view)
        return next(self._changes(now, view, groups), None)

    def _changes(
        self,
        now: float,
        view: FleetView,
        groups: EndpointGroups,
    ) -> Iterator[HoldingChange]:
        plans = plans_by_model(view.plan)
        for gap in uncovered_holdings(view, plans):
            yield from self._fill_gap(view, groups, gap)
        for model in view.required_models:
            plan = plans.get(model.name, {})
            yield from rollout_changes(model, plan, view.converged)
        for holding in self._overloaded_groups(now, view, groups):
            yield from self._grow_group(now, view, groups, holding)

    def _fill_gap(
        self,
        view: FleetView,
        groups: EndpointGroups,
        gap: Holding,
    ) -> Iterator[HoldingChange]:
        """Assign uncovered layers to a spare endpoint or a donor."""
        spare = view.largest(spare_endpoints(view.required_models, view.plan))
        donor = spare or self._donor(view, groups, gap)
        if donor:
            first = gap.layers.first
            end = first + view.capacities[donor].layers
            layers = LayerRange(first, min(gap.layers.end, end))
            yield HoldingChange(donor, replace(gap, layers=layers))

    def _overloaded_groups(
        self,
        now: float,
        view: FleetView,
        groups: EndpointGroups,
    ) -> list[Holding]:
        """Return the groups in sustained overload, highest load first."""
        loads = {
            holding: groups.load(holding, view.demand)
            for holding in groups.members
        }
        self._overloaded_since = {
            holding: self._overloaded_since.get(holding, now)
            for holding, load in loads.items()
            if load > OVERLOAD_THRESHOLD
        }
        long_overloaded = [
            holding
            for holding, since in self._overloaded_since.items()
            if now >= since + MIN_OVERLOAD_S
        ]
        return sorted(long_overloaded, key=loads.__getitem__, reverse=True)

    def _grow_group(
        self,
        now: float,
        view: FleetView,
        groups: EndpointGroups,
        holding: Holding,
    ) -> Iterator[HoldingChange]:
        spares = spare_endpoints(view.required_models, view.plan)
        fitting = [name for name in spares if view.can_hold(name, holding)]
        donor = view.largest(fitting)
        if donor is None and now >= self._observing_since + OBSERVATION_S:
            donor = self._donor(view, groups, holding)
        if donor:
            # The change must take effect before the group may grow again.
            self._overloaded_since[holding] = now
            yield HoldingChange(donor, holding)

    def _donor(
        self,
        view: FleetView,
        groups: EndpointGroups,
        wanted: Holding,
    ) -> str | None:
        """Return an endpoint whose group has enough capacity without it."""
        fits = partial(view.can_hold, wanted=wanted)
        loads: list[tuple[float, str]] = []
        for holding, members in groups.members.items():
            if holding == wanted or len(members) == 1:
                continue
            donor = next(filter(fits, members), None)
            if donor:
                load = groups.load(holding, self._peaks, donor)
                loads.append((load, donor))
        lowest, least_loaded = min(loads, default=(MAX_DONOR_LOAD, ''))
        return least_loaded if lowest < MAX_DONOR_LOAD else None

    def _update_peaks(self, now: float, demand: Mapping[str, float]) -> None:
        """Update the demand peaks, which decay with a fixed half-life."""
        elapsed_s = now - self._updated_at
        if elapsed_s > MAX_STEP_INTERVAL_S:
            # Another lease holder was in control; its peaks are unknown here.
            self._observing_since = now
            self._overloaded_since.clear()
        decay = 2 ** (-elapsed_s / PEAK_HALF_LIFE_S)
        self._updated_at = now
        self._peaks = {
            model: max(
                demand.get(model, 0),
                self._peaks.get(model, 0) * decay,
            )
            for model in self._peaks.keys() | demand.keys()
        }
