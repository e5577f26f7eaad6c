"""Indexed lookups in a routing configuration."""

from collections import defaultdict
from collections.abc import Iterator

from foxtailhatch.limits.reservation import PriorityPair, UrgencyRanks
from foxtailhatch.routes.configuration import (
    Account,
    Route,
    RoutingConfiguration,
    Service,
)


class RoutingTable:
    """A configuration with its indexes; built once for each version."""

    def __init__(self, cfg: RoutingConfiguration) -> None:
        """Index the routes by host and prefix, and the accounts by key."""
        self.cfg = cfg
        self.services = {service.name: service for service in cfg.services}
        self._hosts: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in cfg.routes:
            self._hosts[route.host.lower()][route.prefix] = route
        self._accounts = {
            key: account for account in cfg.accounts for key in account.keys
        }
        self._ranks = {
            service.name: UrgencyRanks.of(_priority_pairs(cfg, service.name))
            for service in cfg.services
            if service.runs_chains
        }

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.cfg.version

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``.

        A port in ``host`` and a query in ``path`` are ignored.
        """
        prefixes = self._hosts.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        bare_path = path.partition('?')[0]
        end = bare_path.rfind('/')
        while end >= 0:
            match = prefixes.get(bare_path[: end + 1])
            if match is not None:
                return match
            end = bare_path.rfind('/', 0, end)
        return None

    def account(self, key: str) -> Account | None:
        """Return the client account that an API key belongs to."""
        return self._accounts.get(key)

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``, or ``None``."""
        return self.services.get(name)

    def ordered_ranks(self, name: str) -> UrgencyRanks | None:
        """Return the ranks of a service with ordered admission, or ``None``.

        It is enabled for a model service whose routes have at least two
        different priorities.
        """
        ranks = self._ranks.get(name)
        return ranks if ranks is not None and ranks.has_order else None


def _priority_pairs(
    cfg: RoutingConfiguration, service: str
) -> Iterator[PriorityPair]:
    """Return the priorities in force and those of routes to a service."""
    of_accounts = {
        account.priority
        for account in cfg.accounts
        if account.priority is not None
    }
    for route in cfg.routes:
        if all(
            share.service != service or share.weight <= 0
            for share in route.shares
        ):
            continue
        yield route.priority, route.priority
        if cfg.checks_keys and not route.is_public:
            yield from ((own, route.priority) for own in of_accounts)
