"""Lookups in a routing configuration."""

from collections import defaultdict

from foxtailhatch.routes.configuration import (
    Account,
    Route,
    RoutingConfiguration,
    Service,
)


class RoutingTable:
    """A configuration with its indexes; build it once for each version."""

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

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.cfg.version

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``.

        A port in ``host`` and a query in ``path`` do not count.
        """
        prefixes = self._hosts.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        bare = path.partition('?')[0]
        end = bare.rfind('/')
        while end >= 0:
            found = prefixes.get(bare[: end + 1])
            if found is not None:
                return found
            end = bare.rfind('/', 0, end)
        return None

    def account(self, key: str) -> Account | None:
        """Return the client account that holds a key."""
        return self._accounts.get(key)

    def service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self.services.get(name)
