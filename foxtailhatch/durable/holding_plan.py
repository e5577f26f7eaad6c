"""The plan of holdings: its gaps, its spare endpoints, and new versions."""

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass

from foxtailhatch.core import Holding, LayerRange

Plan = Mapping[str, tuple[Holding, ...]]
_MutablePlan = dict[str, tuple[Holding, ...]]
ROLLOUT_DIVISOR = 10


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


def holding_of(required: RequiredModel, layers: LayerRange) -> Holding:
    """Return the holding that serves a need with some layers."""
    return Holding(required.name, required.version, layers, required.adapters)


def first_uncovered_range(
    required: RequiredModel, holdings: Iterable[Holding]
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
        if (holding.model, holding.version) == (required.name, required.version)
    ]
    reached = 0
    while reached < required.layers:
        ends = [held.end for held in ranges if held.first == reached]
        if not ends:
            starts = [held.first for held in ranges if held.first > reached]
            return LayerRange(reached, min([required.layers, *starts]))
        reached = max(ends)
    return None


def spare_endpoints(
    required_models: Iterable[RequiredModel], plan: Plan
) -> list[str]:
    """Return the endpoints that hold nothing of what is needed, by name."""
    names = {required.name for required in required_models}
    return sorted(
        endpoint
        for endpoint, holdings in plan.items()
        if not any(holding.model in names for holding in holdings)
    )


def plans_by_model(plan: Plan) -> dict[str, Plan]:
    """Return the part of a plan that concerns each model."""
    by_model: dict[str, _MutablePlan] = {}
    for endpoint, holdings in plan.items():
        for holding in holdings:
            by_model.setdefault(holding.model, {})[endpoint] = holdings
    return dict(by_model)


def all_holdings(plan: Plan) -> list[Holding]:
    """Return the holdings of all endpoints."""
    return [holding for held in plan.values() for holding in held]


def outdated_endpoints(
    required: RequiredModel, plan: Plan
) -> dict[str, Holding]:
    """Return the endpoints with one holding of an outdated version."""
    return {
        endpoint: holdings[0]
        for endpoint, holdings in sorted(plan.items())
        if len(holdings) == 1
        and holdings[0].model == required.name
        and holdings[0] != holding_of(required, holdings[0].layers)
    }


def rollout_changes(
    required: RequiredModel,
    plan: Plan,
    converged: Set[str],
) -> Iterator[HoldingChange]:
    """Yield the endpoints to bring up to date, as far as they may change now.

    Few change at a time, and the last endpoint that holds some layers of the
    old version waits until the new one is loaded as a whole elsewhere.
    """
    outdated = outdated_endpoints(required, plan)
    serving = [
        endpoint
        for endpoint, holdings in plan.items()
        if any(holding.model == required.name for holding in holdings)
    ]
    changing = [name for name in serving if name not in converged]
    if len(changing) >= max(1, len(serving) // ROLLOUT_DIVISOR):
        return
    converged_plan = {name: plan[name] for name in serving if name in converged}
    is_complete = (
        first_uncovered_range(required, all_holdings(converged_plan)) is None
    )
    for endpoint, holding in outdated.items():
        replicas = [held for held in outdated.values() if held == holding]
        if is_complete or len(replicas) > 1:
            yield HoldingChange(endpoint, holding_of(required, holding.layers))
