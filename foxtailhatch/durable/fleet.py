"""The input of placement: groups of endpoints, their capacity and load."""

from collections.abc import Iterator, Mapping, Sequence, Set
from dataclasses import dataclass

from foxtailhatch.core import Holding
from foxtailhatch.durable.holding_plan import (
    EndpointCapacity,
    Plan,
    RequiredModel,
    all_holdings,
    first_uncovered_range,
    holding_of,
    outdated_endpoints,
)


@dataclass(frozen=True, slots=True)
class FleetView:
    """The input of a placement decision.

    ``required_models`` are the models to serve.  ``plan`` has the desired
    holdings of each live endpoint, ``converged`` the endpoints that report
    exactly these, ``capacities`` the capacity of each endpoint, and
    ``demand`` the load of each model in tokens per second.
    """

    required_models: Sequence[RequiredModel]
    plan: Plan
    converged: Set[str]
    capacities: Mapping[str, EndpointCapacity]
    demand: Mapping[str, float]

    def throughput(self, endpoints: Sequence[str]) -> float:
        """Return the total tokens per second of some endpoints."""
        return sum(self.capacities[name].tokens_per_s for name in endpoints)

    def can_hold(self, endpoint: str, wanted: Holding) -> bool:
        """Return whether an endpoint has capacity for a holding."""
        return self.capacities[endpoint].layers >= len(wanted.layers)

    def largest(self, endpoints: Sequence[str]) -> str | None:
        """Return the endpoint with the largest layer capacity, if any."""
        ranked = [(self.capacities[name].layers, name) for name in endpoints]
        return max(ranked)[1] if ranked else None


class EndpointGroups:
    """Groups of endpoints that are to hold the same layers of a model."""

    def __init__(self, view: FleetView) -> None:
        """Group the endpoints with one holding of a required version."""
        self.members: dict[Holding, list[str]] = {}
        self._view = view
        required_models = {
            (model.name, model.version): model for model in view.required_models
        }
        for endpoint, holdings in sorted(view.plan.items()):
            if len(holdings) != 1:
                continue
            model = required_models.get(
                (holdings[0].model, holdings[0].version)
            )
            if model:
                holding = holding_of(model, holdings[0].layers)
                self.members.setdefault(holding, []).append(endpoint)

    def load(
        self,
        holding: Holding,
        demand: Mapping[str, float],
        without: str | None = None,
    ) -> float:
        """Return the demand divided by the throughput of its endpoints.

        Groups of the same version whose layers overlap share the demand.
        """
        throughput = sum(
            self._view.throughput(members)
            for other, members in self.members.items()
            if _share_layers(holding, other)
        )
        if without is not None:
            throughput -= self._view.throughput([without])
        wanted = demand.get(holding.model, 0)
        return wanted / throughput if throughput > 0 else float('inf')


def uncovered_holdings(
    view: FleetView, plans: Mapping[str, Plan]
) -> Iterator[Holding]:
    """Yield the layers that the plan assigns to no endpoint, by model.

    ``plans`` is the plan by model.  The gaps of a model that is being updated
    to a new version are closed by its rollout, as long as some of its layers
    are replicated.
    """
    for model in view.required_models:
        plan = plans.get(model.name, {})
        gap = first_uncovered_range(model, all_holdings(plan))
        old = list(outdated_endpoints(model, plan).values())
        if gap and len(old) == len(set(old)):
            yield holding_of(model, gap)


def _share_layers(holding: Holding, other: Holding) -> bool:
    if (holding.model, holding.version) != (other.model, other.version):
        return False
    first = max(holding.layers.first, other.layers.first)
    return first < min(holding.layers.end, other.layers.end)
