"""Routers and stand-ins for planned work: what operators change on purpose."""

import json
import os
import signal
from dataclasses import dataclass
from random import Random

from tests.soak_router.silent_endpoint import SilentEndpoint
from tests.soak_router.world import ZONES, World, configuration

TIMEOUT_MS = 20_000
PLAIN_SERVICES = ('desk', 'desk2')
PLAIN_PER_ZONE = 2
MAX_OTHER_ROUTES = 3


@dataclass(slots=True)
class PlannedStop:
    """A planned stop of a router, with times on the clock of the event loop.

    ``served_at`` is when its next process served again.
    """

    router: str
    asked_at: float
    ended_at: float | None = None
    served_at: float | None = None


class PlannedWorld(World):
    """A world whose configurations differ and whose endpoints may be silent."""

    endpoint_type = SilentEndpoint

    def __init__(self, folder, seed):
        super().__init__(folder)
        self.stops = []
        # Time between the announcement of a stop to clients and the signal.
        self.stop_lead_s = 1.5
        self._changes = Random(f'changes-{seed}')
        self._document = None

    async def start(self, routers=3):
        await super().start(routers)
        for zone in ZONES:
            for service in PLAIN_SERVICES:
                for _ in range(PLAIN_PER_ZONE):
                    await self.add_plain(service, zone)

    async def add_plain(self, service, zone):
        node = self._node(service, zone)
        await node.start()
        return node

    async def add_like(self, node):
        """Start an endpoint that can take the place of another one."""
        if node.accelerator_kind:
            return await self.add_engine(node.zone, node.accelerator_kind)
        return await self.add_plain(node.service, node.zone)

    def all_live(self):
        """Return the endpoints of all services that neither leave nor are dead."""
        services = ('llm', *PLAIN_SERVICES)
        return [node for name in services for node in self.live_nodes(name)]

    def configure(self):
        self._document = None
        super().configure()

    def reload(self, router):
        """Write the settings of a router anew, and tell it."""
        settings = router._folder / f'{router.name}.conf'
        written = settings.with_suffix('.new')
        written.write_text(router._settings())
        os.replace(written, settings)
        router.signal(signal.SIGHUP)

    def _write_configuration(self):
        if self._document is None:
            self._document = self._changed(configuration(self.version))
        raw = json.dumps(self._document).encode()
        self.log.put('keyed.op', 'config', raw)

    def _changed(self, document):
        """Return a configuration with other time limits, shares and routes."""
        draw = self._changes
        document['services'].append({'name': 'desk2'})
        for route in document['routes']:
            route['timeout_ms'] = TIMEOUT_MS + draw.randint(0, 5000)
            if route.pop('service') == 'llm':
                route['service'] = 'llm'
                continue
            names = draw.sample(PLAIN_SERVICES, draw.randint(1, 2))
            route['split'] = [
                {'service': name, 'weight': draw.randint(1, 3)}
                for name in names
            ]
        for number in range(draw.randint(0, MAX_OTHER_ROUTES)):
            other = dict(document['routes'][-1])
            other |= {'name': f'o{number}', 'path_prefix': f'/other{number}/'}
            document['routes'].append(other)
        return document
