"""A small deployment on loopback: routers, a store, servers and clients."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from common.http import Answer, Reply, Server, ask
from common.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'key-of-crew'
TENANT = 'crew'
# As in deploy/system.toml.
COMMAND = ('-m', 'foxtailhatch.platform', '--metrics-port', '7355')
# Bounds and limits as in DEPLOY.md.
SETTINGS = """\
role=router
machine_class=edge
serves=edge,registry
region=here
zones.z1=here
zones.z2=here
zones.z3=here
port_range=7340,7355
bootstrap=true
loss_counts=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
discovery=platform
entry=registry
heartbeat_ms=1200
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.back_ms=250
bounds.strict_revocation=true
bounds.revoke_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=202
bounds.recovery_s=12
bounds.event_delay_ms=120
bounds.retry_after_s=0
bounds.stall_ms=3000
bounds.require_fencing=true
bounds.ttl_max_s=5
platform.form=log
platform.keep_s=300
platform.ttl_min_ms=1000
"""


class Record:
    """The record of a run; times are in seconds since its start."""

    def __init__(self, path):
        self._file = Path(path).open('w', encoding='utf-8')
        self._began = time.monotonic()
        self.quiet = False

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Plain:
    """A replica of a plain service."""

    def __init__(self, world, name, zone, service='desk', work_s=0.05):
        self.name = name
        self.zone = zone
        self.service = service
        self.work_s = work_s
        self.state = 'ready'
        self.is_listed = True
        self.arrivals = []
        self.answer = None
        self._world = world
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._task = None
        self.server = Server(self._handle)

    async def start(self, host='127.0.0.1', port=0):
        await self.server.start(host, port)
        self._task = asyncio.ensure_future(self._beat())

    def write(self):
        self._seq += 1
        entry = {
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self._seq,
            'born': self._born,
        }
        self._world.store.put(
            'keyed.servers', self.name, json.dumps(entry).encode()
        )

    def remove(self):
        """Remove the entry without a word, and go on serving."""
        self.is_listed = False
        self._world.store.put('keyed.servers', self.name, None)

    def stop(self):
        self.is_listed = False
        self.server.stop()
        if self._task is not None:
            self._task.cancel()

    async def _beat(self):
        while True:
            down = self._world.store.modes['servers'] != 'up'
            if self.is_listed and not down:
                self.write()
            await asyncio.sleep(1.2)

    async def _handle(self, request, writer):
        headers = request.headers
        if request.path == '/healthz':
            return Reply(headers={'Foxtailhatch-Instance-Id': self.name})
        if request.path in {'/report', '/order'}:
            return Reply(404)
        if headers.get('foxtailhatch-expect-instance') != self.name:
            return Reply(421, headers={'Foxtailhatch-Instance-Id': self.name})
        request_id = headers['foxtailhatch-request-id']
        self.arrivals.append((time.monotonic(), request_id))
        self._world.record.write(f'run {request_id} at {self.name}')
        if self.answer is not None:
            return await self.answer(self, request, writer)
        await asyncio.sleep(self.work_s)
        return sealed(request_id, b'done ' + request_id.encode())


def sealed(request_id, body, status=200):
    return Reply(
        status,
        body,
        {
            'Foxtailhatch-Request-Id': request_id,
            'Foxtailhatch-Response-Seal': f'seal.{request_id}',
        },
    )


class Router:
    """A router process on a loopback address of its own."""

    def __init__(self, world, name, zone, cores=2):
        self.name = name
        self.zone = zone
        self.cores = cores
        self.process = None
        self._world = world
        self.ip = free_ip()
        self.ports = {}
        for part in ('front', 'ready', 'directory', 'control'):
            self.ports[part] = free_port(self.ip)

    @property
    def address(self):
        return f'{self.ip}:{self.ports["front"]}'

    async def prepare(self):
        self._store = await self._world.store.listen(self.name)

    def start(self):
        path = self._world.folder / f'{self.name}.conf'
        lines = [
            f'node_name={self.name}',
            f'ip={self.ip}',
            f'zone={self.zone}',
            f'platform.address={self._store}',
        ]
        lines += [
            f'listen.{part}={self.ip}:{port}'
            for part, port in self.ports.items()
        ]
        text = SETTINGS.replace('limits.cores=2', f'limits.cores={self.cores}')
        path.write_text('\n'.join([*lines, text]))
        log = (self._world.folder / f'{self.name}.log').open('ab')
        deps = os.pathsep.join([str(ROOT / 'target' / 'deps'), str(ROOT)])
        self.process = subprocess.Popen(
            [sys.executable, *COMMAND],
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', '/'),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': deps,
                'PYTHONDONTWRITEBYTECODE': '1',
                'FOXTAILHATCH_SETTINGS': str(path),
            },
            stdout=log,
            stderr=log,
        )

    def signal(self, number):
        self._world.record.write(f'signal {int(number)} to {self.name}')
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        answer = await ask(
            f'{self.ip}:{self.ports["ready"]}',
            'GET',
            '/readyz',
            {'Host': 'x', 'Connection': 'close'},
        )
        return answer.status == 200

    def log(self):
        return (self._world.folder / f'{self.name}.log').read_text()


class World:
    """Everything of one run."""

    def __init__(self, record, seed=None):
        self.record = record
        self.random = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.routers = []
        self.plain = []
        self.version = 0
        self.extra_routes = []
        self.extra_services = []
        self.tenants = [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}]
        self.attempts = 2
        self.timeout_ms = 1500
        self._ids = 0

    def configure(self):
        self.version += 1
        common = {
            'host': HOST,
            'timeout_ms': self.timeout_ms,
            'target_latency_ms': 300,
            'priority': 2,
            'public': False,
            'sticky': False,
            'resumable': False,
            'service': 'desk',
        }
        routes = [
            common
            | {
                'name': 'r-once',
                'path_prefix': '/once/',
                'route_kind': 'non_idempotent',
                'max_attempts': 1,
            },
            common
            | {
                'name': 'r-read',
                'path_prefix': '/read/',
                'route_kind': 'idempotent',
                'max_attempts': self.attempts,
            },
            *self.extra_routes,
        ]
        document = {
            'version': self.version,
            'routes': routes,
            'services': [
                {'name': 'desk', 'health_path': '/healthz', 'max_conns': 110},
                *self.extra_services,
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': self.tenants,
        }
        self.store.put('keyed.op', 'config', json.dumps(document).encode())
        self.record.write(f'manifest {self.version}')

    async def add_plain(self, zone, **options):
        name = f'i-{len(self.plain)}-{self.random.randrange(16**8):08x}'
        replica = Plain(self, name, zone, **options)
        self.plain.append(replica)
        await replica.start()
        return replica

    async def add_router(self, zone, cores=2):
        router = Router(self, f'edge-{zone}-{len(self.routers)}', zone, cores)
        await router.prepare()
        router.start()
        self.routers.append(router)
        return router

    async def wait_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            states = [await router.is_ready() for router in self.routers]
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False

    def next_id(self):
        self._ids += 1
        return f'{self._ids:06x}{self.random.randrange(16**10):010x}'

    async def request(
        self, router, path, method='GET', deadline_ms=3000, key=KEY, **headers
    ):
        """Send one client attempt; return its id and what the client saw."""
        request_id = self.next_id()
        fields = {
            'Host': HOST,
            'Foxtailhatch-Request-Id': request_id,
            'Foxtailhatch-Deadline-Ms': deadline_ms,
            'Authorization': f'Bearer {key}',
        }
        fields |= {name.replace('_', '-'): text for name, text in headers.items()}
        self.record.write(f'sent {request_id} {method} {path} to {router.name}')
        answer = await ask(
            router.address, method, path, fields, limit_s=deadline_ms / 1000
        )
        self.record.write(
            f'answered {request_id} {answer.status} '
            f'whole={answer.is_whole} {answer.why}'
        )
        return request_id, answer

    def stop(self):
        for router in self.routers:
            if router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
            router.process.wait()
        for replica in self.plain:
            replica.stop()
        self.store.stop()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)


def free_ip():
    """Return a loopback address on which the metrics port is free."""
    while True:
        ip = '127.{}.{}.{}'.format(*(random.randint(1, 250) for _ in range(3)))
        with socket.socket() as probe:
            try:
                probe.bind((ip, 7355))
            except OSError:
                continue
            return ip


def free_port(ip):
    while True:
        port = random.randint(8000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port


def main(case, record_path):
    """Run ``case(world, trouble)``; exit with 0, 1 or 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(record_path)

    async def run():
        world = World(record)
        try:
            return await asyncio.wait_for(case(world, trouble), 112)
        finally:
            world.stop()

    try:
        code = asyncio.run(run())
    except Exception as exc:  # The case could not run.
        record.say(f'could not run: {type(exc).__name__}: {exc}')
        code = 2
    record.write(f'exit {code}')
    sys.exit(code)
