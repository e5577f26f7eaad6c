"""The plan of holdings: its gaps, its spare endpoints, and new versions."""

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass

from foxtailhatch.core import Holding, LayerRange

Plan = Mapping[str, tuple[Holding, ...]]
_Part = dict[str, tuple[Holding, ...]]
ROLLOUT_SHARE = 10


@dataclass(frozen=True, slots=True)
class RequiredModel:
    """A model that shall be served, in one version with its adapters."""

    name: str
    version: str
    layers: int
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointCapacity:
    """How many layers an endpoint can hold, and its tokens a second."""

    layers: int
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class HoldingChange:
    """A new wish for one endpoint."""

    endpoint: str
    holding: Holding


def holding_of(need: RequiredModel, layers: LayerRange) -> Holding:
    """Return the holding that serves a need with some layers."""
    return Holding(need.name, need.version, layers, need.adapters)


def first_uncovered_range(
    need: RequiredModel, holdings: Iterable[Holding]
) -> LayerRange | None:
    """Return the first layers that no chain over ``holdings`` reaches.

    >>> need = RequiredModel('guide', 'v1', 4)
    >>> first_uncovered_range(need, [holding_of(need, LayerRange(0, 2))])
    LayerRange(first=2, end=4)
    >>> first_uncovered_range(need, [holding_of(need, LayerRange(0, 4))]) is None
    True
    """
    ranges = [
        holding.layers
        for holding in holdings
        if (holding.model, holding.version) == (need.name, need.version)
    ]
    reached = 0
    while reached < need.layers:
        ends = [held.end for held in ranges if held.first == reached]
        if not ends:
            starts = [held.first for held in ranges if held.first > reached]
            return LayerRange(reached, min([need.layers, *starts]))
        reached = max(ends)
    return None


def spare_endpoints(needs: Iterable[RequiredModel], plan: Plan) -> list[str]:
    """Return the endpoints that hold nothing of what is needed, by name."""
    names = {need.name for need in needs}
    return sorted(
        endpoint
        for endpoint, holdings in plan.items()
        if not any(holding.model in names for holding in holdings)
    )


def plans_by_model(plan: Plan) -> dict[str, Plan]:
    """Return the part of a plan that concerns each model."""
    parts: dict[str, _Part] = {}
    for endpoint, holdings in plan.items():
        for holding in holdings:
            parts.setdefault(holding.model, {})[endpoint] = holdings
    return dict(parts)


def all_holdings(plan: Plan) -> list[Holding]:
    """Return the holdings of all endpoints."""
    return [holding for held in plan.values() for holding in held]


def outdated_endpoints(need: RequiredModel, plan: Plan) -> dict[str, Holding]:
    """Return the endpoints with one holding of an outdated version."""
    return {
        endpoint: holdings[0]
        for endpoint, holdings in sorted(plan.items())
        if len(holdings) == 1
        and holdings[0].model == need.name
        and holdings[0] != holding_of(need, holdings[0].layers)
    }


def next_update(
    need: RequiredModel,
    plan: Plan,
    settled: Set[str],
) -> Iterator[HoldingChange]:
    """Yield the endpoints to bring up to date, as far as they may change now.

    Few change at a time, and the last endpoint that holds some layers of the
    old version waits until the new one is loaded as a whole elsewhere.
    """
    outdated = outdated_endpoints(need, plan)
    serving = [
        endpoint
        for endpoint, holdings in plan.items()
        if any(holding.model == need.name for holding in holdings)
    ]
    changing = [name for name in serving if name not in settled]
    if len(changing) >= max(1, len(serving) // ROLLOUT_SHARE):
        return
    ready = {name: plan[name] for name in serving if name in settled}
    is_whole = first_uncovered_range(need, all_holdings(ready)) is None
    for endpoint, holding in outdated.items():
        alike = [held for held in outdated.values() if held == holding]
        if is_whole or len(alike) > 1:
            yield HoldingChange(endpoint, holding_of(need, holding.layers))
