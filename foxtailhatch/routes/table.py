"""Indexed lookups in a routing configuration."""

from collections import defaultdict

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
