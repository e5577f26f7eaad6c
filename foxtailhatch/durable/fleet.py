"""A fleet as placement sees it: groups of endpoints and their load."""

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
    """What a decision on placement is made from.

    ``needs`` are the models that shall be served.  ``plan`` is what each
    live endpoint is wished to hold, ``settled`` the endpoints that report
    just that, ``capacities`` what each can bear, and ``demand`` the tokens a
    second that callers ask of each model.
    """

    required_models: Sequence[RequiredModel]
    plan: Plan
    converged: Set[str]
    capacities: Mapping[str, EndpointCapacity]
    demand: Mapping[str, float]

    def throughput(self, endpoints: Sequence[str]) -> float:
        """Return the tokens a second of some endpoints together."""
        return sum(self.capacities[name].tokens_per_s for name in endpoints)

    def can_hold(self, endpoint: str, wanted: Holding) -> bool:
        """Tell whether an endpoint can hold so many layers."""
        return self.capacities[endpoint].layers >= len(wanted.layers)

    def largest(self, endpoints: Sequence[str]) -> str | None:
        """Return the endpoint that can hold most layers, if there is any."""
        ranked = [(self.capacities[name].layers, name) for name in endpoints]
        return max(ranked)[1] if ranked else None


class EndpointGroups:
    """The endpoints that are wished to hold the same layers of a model."""

    def __init__(self, view: FleetView) -> None:
        """Group the endpoints with one holding of a needed version."""
        self.members: dict[Holding, list[str]] = {}
        self._view = view
        required_models = {
            (required.name, required.version): required
            for required in view.required_models
        }
        for endpoint, holdings in sorted(view.plan.items()):
            if len(holdings) != 1:
                continue
            required = required_models.get(
                (holdings[0].model, holdings[0].version)
            )
            if required:
                holding = holding_of(required, holdings[0].layers)
                self.members.setdefault(holding, []).append(endpoint)

    def load(
        self,
        holding: Holding,
        demand: Mapping[str, float],
        without: str | None = None,
    ) -> float:
        """Return demand over the speed of all that share it.

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
    """Yield the layers that nobody is wished to hold, by model.

    ``plans`` is the plan by model.  A model that is being brought to a new version fills its own gaps.
    """
    for required in view.required_models:
        plan = plans.get(required.name, {})
        gap = first_uncovered_range(required, all_holdings(plan))
        old = list(outdated_endpoints(required, plan).values())
        if gap and len(old) == len(set(old)):
            yield holding_of(required, gap)


def _share_layers(holding: Holding, other: Holding) -> bool:
    if (holding.model, holding.version) != (other.model, other.version):
        return False
    first = max(holding.layers.first, other.layers.first)
    return first < min(holding.layers.end, other.layers.end)
