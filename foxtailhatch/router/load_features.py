"""Which load features the configuration and the endpoints ask for.

Each request asks this, so the answers are kept while the configuration and the
list of endpoints stay the same.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable

from foxtailhatch.fleet import EndpointTable
from foxtailhatch.routes import RoutingTable

# Priority in force of a request, and the priority of its route.
PriorityPair = tuple[int, int]


def has_ordered_admission(table: RoutingTable, service: str) -> bool:
    """Return whether requests for a service are admitted in order of urgency.

    This holds for a model service whose routes have at least two different
    priorities.
    """
    return (
        _is_model(table, service)
        and len(set(_route_priorities(table, service))) > 1
    )


def may_balance(
    table: RoutingTable, service: str, endpoints: EndpointTable
) -> bool:
    """Return whether a model service has engines in at least two zones.

    Engines that are draining or dead count too, so that the features do not
    change with each failure.
    """
    if not _is_model(table, service):
        return False
    zones = {endpoint.zone for endpoint in endpoints.of_service(service)}
    return len(zones) > 1


def urgency_ranks(
    table: RoutingTable, service: str
) -> tuple[PriorityPair, ...]:
    """Return the priority pairs of a service, the most urgent first.

    The priority of an account takes precedence over that of the route.
    """
    of_accounts = {
        account.priority
        for account in table.cfg.accounts
        if account.priority is not None
    }
    pairs = {
        (in_force, of_route)
        for of_route in _route_priorities(table, service)
        for in_force in (of_route, *of_accounts)
    }
    return tuple(sorted(pairs))


class LoadFeatures:
    """The features in force, kept until configuration or endpoints change."""

    def __init__(
        self, table: Callable[[], RoutingTable | None], endpoints: EndpointTable
    ) -> None:
        """Use the configuration that ``table`` returns."""
        self._table = table
        self._endpoints = endpoints
        self._version = -1
        self._revision = -1
        self._ordered: frozenset[str] = frozenset()
        self._balanced: frozenset[str] = frozenset()
        self._ranks: dict[str, tuple[PriorityPair, ...]] = {}

    def has_ordered_admission(self, service: str) -> bool:
        """Return :func:`has_ordered_admission` of the state in force."""
        self._refresh()
        return service in self._ordered

    def may_balance(self, service: str) -> bool:
        """Return :func:`may_balance` of the state in force."""
        self._refresh()
        return service in self._balanced

    def reports_demand(self, service: str) -> bool:
        """Return whether entries report their demand for a service."""
        self._refresh()
        return service in self._ordered or service in self._balanced

    @property
    def reporting_services(self) -> frozenset[str]:
        """Return the services for which entries report their demand."""
        self._refresh()
        return self._ordered | self._balanced

    def rank(self, service: str, in_force: int, of_route: int) -> int:
        """Return the urgency rank of a request, 0 the most urgent.

        A pair that a newer configuration no longer has gets the rank of the
        next less urgent one.
        """
        ranks = self.ranks(service)
        position = bisect_left(ranks, (in_force, of_route))
        return min(position, max(0, len(ranks) - 1))

    def rank_count(self, service: str) -> int:
        """Return the number of urgency ranks of a service."""
        return len(self.ranks(service))

    def ranks(self, service: str) -> tuple[PriorityPair, ...]:
        """Return :func:`urgency_ranks` of the configuration in force."""
        self._refresh()
        table = self._table()
        if table is None:
            return ()
        known = self._ranks.get(service)
        if known is None:
            known = urgency_ranks(table, service)
            self._ranks[service] = known
        return known

    def _refresh(self) -> None:
        table = self._table()
        version = -1 if table is None else table.version
        if version != self._version:
            self._version = version
            self._revision = -1
            self._ranks = {}
            self._ordered = frozenset(
                service
                for service in _services(table)
                if table and has_ordered_admission(table, service)
            )
        if self._endpoints.revision != self._revision:
            self._revision = self._endpoints.revision
            self._balanced = frozenset(
                service
                for service in _services(table)
                if table and may_balance(table, service, self._endpoints)
            )


def _services(table: RoutingTable | None) -> Iterable[str]:
    return () if table is None else table.services


def _is_model(table: RoutingTable, service: str) -> bool:
    known = table.service(service)
    return known is not None and known.engine is not None


def _route_priorities(table: RoutingTable, service: str) -> list[int]:
    return [
        route.priority
        for route in table.cfg.routes
        if any(
            share.service == service and share.weight > 0
            for share in route.shares
        )
    ]
