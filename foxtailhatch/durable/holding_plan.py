"""The plan of holdings: gaps, spare endpoints and version updates."""

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass

from foxtailhatch.core import Holding, LayerRange

Plan = Mapping[str, tuple[Holding, ...]]
_MutablePlan = dict[str, tuple[Holding, ...]]
ROLLOUT_DIVISOR = 10


@dataclass(frozen=True, slots=True)
class RequiredModel:
    """A model to serve, in one version with its adapters."""

    name: str
    version: str
    layers: int
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointCapacity:
    """The layer capacity of an endpoint and its tokens per second."""

    layers: int
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class HoldingChange:
    """A change of the desired holding of one endpoint."""

    endpoint: str
    holding: Holding


def holding_of(model: RequiredModel, layers: LayerRange) -> Holding:
    """Return the holding of some layers of a required model."""
    return Holding(model.name, model.version, layers, model.adapters)


def first_uncovered_range(
    model: RequiredModel, holdings: Iterable[Holding]
) -> LayerRange | None:
    """Return the first range of layers that no chain can reach.

    A chain starts at layer 0 and continues where the last holding ends.

    >>> model = RequiredModel('guide', 'v1', 4)
    >>> first_uncovered_range(model, [holding_of(model, LayerRange(0, 2))])
    LayerRange(first=2, end=4)
    >>> holding = holding_of(model, LayerRange(0, 4))
    >>> first_uncovered_range(model, [holding]) is None
    True
    """
    ranges = [
        holding.layers
        for holding in holdings
        if (holding.model, holding.version) == (model.name, model.version)
    ]
    reached = 0
    while reached < model.layers:
        ends = [held.end for held in ranges if held.first == reached]
        if not ends:
            starts = [held.first for held in ranges if held.first > reached]
            return LayerRange(reached, min([model.layers, *starts]))
        reached = max(ends)
    return None


def spare_endpoints(
    required_models: Iterable[RequiredModel], plan: Plan
) -> list[str]:
    """Return the names of endpoints without a required model, sorted."""
    names = {model.name for model in required_models}
    return sorted(
        endpoint
        for endpoint, holdings in plan.items()
        if not any(holding.model in names for holding in holdings)
    )


def plans_by_model(plan: Plan) -> dict[str, Plan]:
    """Return the plan of each model: its endpoints with their holdings."""
    by_model: dict[str, _MutablePlan] = {}
    for endpoint, holdings in plan.items():
        for holding in holdings:
            by_model.setdefault(holding.model, {})[endpoint] = holdings
    return dict(by_model)


def all_holdings(plan: Plan) -> list[Holding]:
    """Return the holdings of all endpoints."""
    return [holding for held in plan.values() for holding in held]


def outdated_endpoints(model: RequiredModel, plan: Plan) -> dict[str, Holding]:
    """Return the endpoints whose one holding has an old version or adapters."""
    return {
        endpoint: holdings[0]
        for endpoint, holdings in sorted(plan.items())
        if len(holdings) == 1
        and holdings[0].model == model.name
        and holdings[0] != holding_of(model, holdings[0].layers)
    }


def rollout_changes(
    model: RequiredModel,
    plan: Plan,
    converged: Set[str],
) -> Iterator[HoldingChange]:
    """Yield the version updates that may start now.

    One in ``ROLLOUT_DIVISOR`` endpoints of a model changes at a time.  The
    last endpoint with some layers of the old version is updated only after
    the new version is completely loaded on other endpoints.
    """
    outdated = outdated_endpoints(model, plan)
    serving = [
        endpoint
        for endpoint, holdings in plan.items()
        if any(holding.model == model.name for holding in holdings)
    ]
    changing = [name for name in serving if name not in converged]
    if len(changing) >= max(1, len(serving) // ROLLOUT_DIVISOR):
        return
    converged_plan = {name: plan[name] for name in serving if name in converged}
    is_complete = (
        first_uncovered_range(model, all_holdings(converged_plan)) is None
    )
    for endpoint, holding in outdated.items():
        replicas = [held for held in outdated.values() if held == holding]
        if is_complete or len(replicas) > 1:
            yield HoldingChange(endpoint, holding_of(model, holding.layers))
