"""Router processes, with stand-ins for the platform."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from standins.platform_engine import EndpointPool, StubEndpoint
from standins.platform_log import PlatformLog
from tests.soak_router.client import HOST
from tests.soak_router.ports import free_port
from tests.soak_router.proxy import Proxy

ZONES = ('z1', 'z2')
CARDS = {'large': 36_000.0, 'middle': 21_600.0}
# Accelerators of the engines of each zone, with room for a whole replica of the
# model and some more layers.
ENGINES = ('large', 'large', 'large', 'middle', 'middle', 'middle')
ROUTE = {
    'host': HOST,
    'timeout_ms': 10_000,
    'target_latency_ms': 500,
    'priority': 1,
    'max_attempts': 2,
}


LAUNCHER = Path(__file__).parent / 'launch.py'
THIS_BUILD = Path(__file__).parents[2]


def configuration(version):
    routes = [
        {'name': 'm', 'path_prefix': '/m/', 'route_kind': 'streaming'},
        {'name': 'o', 'path_prefix': '/once/', 'route_kind': 'non_idempotent'},
        {'name': 'r', 'path_prefix': '/read/', 'route_kind': 'idempotent'},
    ]
    routes[0] |= {'service': 'llm', 'resumable': True, 'target_gap_ms': 200}
    routes[1] |= {'service': 'desk', 'max_attempts': 1}
    routes[2] |= {'service': 'desk'}
    engine = {
        'slots': 96,
        'kv_bytes': 852_000,
        'layers': 80,
        'layer_mb': 1750,
        'step_ms': 0.85,
        'models': [{'name': 'm', 'load_s': 1.0}],
        'kinds': [
            {'name': name, 'size_mb': size} for name, size in CARDS.items()
        ],
        'usual': {'prompt': 100, 'answer': 60},
    }
    return {
        'version': version,
        'routes': [ROUTE | route for route in routes],
        'services': [{'name': 'llm', 'engine': engine}, {'name': 'desk'}],
        'tenants': [{'name': 'crew', 'api_keys': ['key']}],
    }


class Router:
    """A router process, its settings and its proxy to the store.

    It connects to endpoints from ``host``, by which they know it, and is started from
    the folder ``build``.
    """

    def __init__(self, world, name, zone, folder, host):
        self.name = name
        self.host = host
        self.build = world.build
        self._notices = world.pool.notices
        self.zone = zone
        self.ports = {part: free_port() for part in ('front', 'ready', 'peer')}
        self.proxy = Proxy(world.log.server.address)
        self.process = None
        self.starts = 0
        self._folder = Path(folder)

    @property
    def address(self):
        return f'127.0.0.1:{self.ports["front"]}'

    @property
    def ready_address(self):
        return f'127.0.0.1:{self.ports["ready"]}'

    def start(self):
        """Start the process; its log is appended to a file.

        It knows nothing of what endpoints said before.
        """
        self._notices.excuse(self.host)
        self.starts = 1 + self._starts_logged()
        settings = self._folder / f'{self.name}.conf'
        settings.write_text(self._settings())
        log = (self._folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, str(LAUNCHER), self.host],
            cwd=self.build,
            env=os.environ | {'FOXTAILHATCH_SETTINGS': str(settings)},
            stdout=log,
            stderr=log,
        )

    def version_in_force(self):
        """Return the last version that the router has put in force."""
        versions = self.versions_in_force()
        return versions[-1] if versions else None

    def versions_in_force(self):
        """Return the versions that the router has put in force, in order."""
        return [
            json.loads(line)['version']
            for line in self.log_text().splitlines()
            if '"event":"configuration"' in line
        ]

    async def has_started(self):
        """Return whether the process that was started last has its handlers."""
        return self._starts_logged() >= self.starts

    def _starts_logged(self):
        if not (self._folder / f'{self.name}.log').exists():
            return 0
        return self.log_text().count('"event":"start"')

    def log_text(self):
        """Return all that the router has logged."""
        return (self._folder / f'{self.name}.log').read_text()

    def signal(self, number):
        """Send a signal, since which the endpoints' notices may be lost."""
        if self.process.poll() is None:
            self.process.send_signal(number)
            self._notices.excuse(self.host)

    def _settings(self):
        fields = {
            'node_name': self.name,
            'ip': '127.0.0.1',
            'zone': self.zone,
            'region': 'here',
            'listen.front': self.address,
            'listen.ready': self.ready_address,
            'port_range': f'{self.ports["peer"]},{self.ports["peer"]}',
            'platform.address': self.proxy.address,
        }
        return ''.join(f'{key}={text}\n' for key, text in fields.items())


class World:
    """The stand-ins and routers of one run."""

    endpoint_type = StubEndpoint

    def __init__(self, folder):
        self.log = PlatformLog()
        self.pool = EndpointPool(self.log)
        self.version = 0
        self.build = THIS_BUILD
        self.routers = []
        # The last answers to requests that ask whether routers serve.
        self.last_probes = {}
        self._folder = folder
        self._node_count = 0

    async def start(self, routers=3):
        await self.log.server.start()
        self.configure()
        for zone in ZONES:
            for accelerator_kind in ENGINES:
                await self.add_engine(zone, accelerator_kind)
            await self.add_desk(zone)
        for index in range(routers):
            zone = ZONES[index % len(ZONES)]
            host = f'127.0.0.{index + 11}'
            router = Router(self, f'r{index}', zone, self._folder, host)
            await router.proxy.start()
            self.start_router(router)
            self.routers.append(router)

    def start_router(self, router):
        """Start the next process of a router."""
        router.start()

    def return_older_store(self, lost):
        """Let the store lose records; operators write theirs again."""
        self.log.restore(lost)
        self._write_configuration()

    async def is_configured(self):
        """Return whether the newest configuration is in force everywhere."""
        return all(
            router.version_in_force() == self.version for router in self.routers
        )

    def configure(self):
        self.version += 1
        self._write_configuration()

    def _write_configuration(self):
        raw = json.dumps(configuration(self.version)).encode()
        self.log.put('keyed.op', 'config', raw)

    async def add_engine(self, zone, accelerator_kind):
        node = self._node('llm', zone)
        node.accelerator_kind = accelerator_kind
        await node.start()
        return node

    async def add_desk(self, zone):
        node = self._node('desk', zone)
        await node.start()
        return node

    def live_nodes(self, service):
        """Return the endpoints of a service that are neither leaving nor dead."""
        return [
            node
            for node in self.pool.nodes.values()
            if node.service == service
            and not node.is_dead
            and not node.is_draining
            and not node.is_leaving
        ]

    def stop(self):
        """End the processes and servers that this run started."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            router.process.wait()
            router.proxy.stop()
        for node in self.pool.nodes.values():
            node.server.stop()
        self.log.server.stop()

    def _node(self, service, zone):
        self._node_count += 1
        name = f'i-{self._node_count}'
        return self.endpoint_type(self.pool, name, service, zone)


async def wait_until(condition, message, wait_s=30.0):
    """Wait until ``condition()`` returns true; fail after ``wait_s`` seconds."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while not await condition():
        assert loop.time() < deadline, message
        await asyncio.sleep(0.1)
