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

    needs: Sequence[RequiredModel]
    plan: Plan
    settled: Set[str]
    capacities: Mapping[str, EndpointCapacity]
    demand: Mapping[str, float]

    def speed(self, endpoints: Sequence[str]) -> float:
        """Return the tokens a second of some endpoints together."""
        return sum(self.capacities[name].tokens_per_s for name in endpoints)

    def fits(self, endpoint: str, wanted: Holding) -> bool:
        """Tell whether an endpoint can hold so many layers."""
        return self.capacities[endpoint].layers >= len(wanted.layers)

    def largest(self, endpoints: Sequence[str]) -> str | None:
        """Return the endpoint that can hold most layers, if there is any."""
        ranked = [(self.capacities[name].layers, name) for name in endpoints]
        return max(ranked)[1] if ranked else None


class Groups:
    """The endpoints that are wished to hold the same layers of a model."""

    def __init__(self, view: FleetView) -> None:
        """Group the endpoints with one holding of a needed version."""
        self.members: dict[Holding, list[str]] = {}
        self._view = view
        needs = {(need.name, need.version): need for need in view.needs}
        for endpoint, holdings in sorted(view.plan.items()):
            if len(holdings) != 1:
                continue
            need = needs.get((holdings[0].model, holdings[0].version))
            if need:
                holding = holding_of(need, holdings[0].layers)
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
        speed = sum(
            self._view.speed(members)
            for other, members in self.members.items()
            if _share_layers(holding, other)
        )
        if without is not None:
            speed -= self._view.speed([without])
        wanted = demand.get(holding.model, 0)
        return wanted / speed if speed > 0 else float('inf')


def gaps(view: FleetView, plans: Mapping[str, Plan]) -> Iterator[Holding]:
    """Yield the layers that nobody is wished to hold, by model.

    ``plans`` is the plan by model.  A model that is being brought to a new version fills its own gaps.
    """
    for need in view.needs:
        plan = plans.get(need.name, {})
        gap = first_uncovered_range(need, all_holdings(plan))
        old = list(outdated_endpoints(need, plan).values())
        if gap and len(old) == len(set(old)):
            yield holding_of(need, gap)


def _share_layers(one: Holding, other: Holding) -> bool:
    if (one.model, one.version) != (other.model, other.version):
        return False
    first = max(one.layers.first, other.layers.first)
    return first < min(one.layers.end, other.layers.end)
