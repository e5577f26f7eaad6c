"""A small deployment on loopback addresses: routers, store and replicas.

The routers are the project's own program, started with the command of the deploy
file.  The store is the project's stand-in.  Replicas are small stand-ins of this
folder, which note what they are sent and when they work.
"""

import asyncio
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins.platform_log import PlatformLog  # noqa: E402

HOST = 'desk.example'
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
GRACE_S = 8
ZONES = ('thrissur-a', 'irinjalakuda-b', 'chalakudy-c')
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played."""


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port():
    """Return a free loopback port below the ephemeral ones."""
    for port in range(16_000 + os.getpid() * 61 % 12_000, 31_000):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port
    raise CannotRunError('no free port')


_given = set()


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_at

    def write(self, text):
        self._file.write(f'{self.now():9.3f} s  {text}\n')
        self._file.flush()


class Replica:
    """A replica of a plain service.

    It works for the milliseconds that end the path, one request at a time on a
    channel, and drops a request when its channel closes.
    """

    def __init__(self, deployment, name, service, zone):
        self.name = name
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self.runs = []
        self._deployment = deployment
        self._seq = 0
        self._born = int(time.time() * 1000)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self._beating = asyncio.ensure_future(self._beat())

    def stop(self):
        self._beating.cancel()
        self._server.close()

    def write_entry(self):
        self._seq += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self._seq,
            'born': self._born,
        }
        raw = json.dumps(entry).encode()
        self._deployment.log.put('keyed.servers', self.name, raw)

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        method, target, headers = parse_head(head)
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        if target in {'/report', '/order', '/healthz'}:
            found = target == '/healthz'
            extra = {'Foxtailhatch-Instance-Id': self.name}
            writer.write(answer(200 if found else 404, b'', extra))
            await writer.drain()
            return True
        if headers.get('foxtailhatch-expect-instance') != self.name:
            writer.write(answer(421, b'', {}))
            await writer.drain()
            return True
        return await self.run(method, target, headers, body, reader, writer)

    async def run(self, method, target, headers, body, reader, writer):
        """Work on a request, and answer it."""
        request_id = headers['foxtailhatch-request-id']
        record = self._deployment.record
        run = {'id': request_id, 'began': record.now(), 'ended': None}
        self.runs.append(run)
        record.write(f'{self.name} begins {request_id} {method} {target}')
        left = asyncio.ensure_future(_closes(reader))
        work = asyncio.ensure_future(asyncio.sleep(work_s(target)))
        await asyncio.wait((left, work), return_when='FIRST_COMPLETED')
        run['ended'] = record.now()
        if not work.done():
            work.cancel()
            record.write(f'{self.name} drops {request_id}, its channel closed')
            return False
        left.cancel()
        record.write(f'{self.name} ends {request_id}')
        seal = {
            'Foxtailhatch-Request-Id': request_id,
            'Foxtailhatch-Response-Seal': f'seal-{request_id}',
            'Connection': 'close',
        }
        writer.write(answer(200, f'done {request_id}'.encode(), seal))
        await writer.drain()
        return False


class Router:
    """A router process, started as the deploy file does."""

    def __init__(self, deployment, index):
        self.name = f'edge-{index}'
        self.zone = ZONES[index % len(ZONES)]
        self.port = free_port()
        self.ready_port = free_port()
        self.directory_port = free_port()
        self.peer_port = free_port()
        self.metrics_port = free_port()
        self.process = None
        self._deployment = deployment

    def start(self, store_address):
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        words = shlex.split(deploy['roles']['router']['run'])
        words[0] = sys.executable
        words[words.index('--metrics-port') + 1] = str(self.metrics_port)
        settings = self._deployment.folder / f'{self.name}.conf'
        settings.write_text(self._settings(store_address))
        log = (self._deployment.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': f'{ROOT / "target" / "deps"}:{ROOT}',
                'PYTHONDONTWRITEBYTECODE': '1',
                'FOXTAILHATCH_SETTINGS': str(settings),
            },
            stdout=log,
            stderr=log,
        )

    def log_lines(self):
        text = (self._deployment.folder / f'{self.name}.log').read_text()
        for line in text.splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def _settings(self, store_address):
        fields = {
            'node_name': self.name,
            'role': 'router',
            'machine_class': 'edge',
            'serves': 'edge,registry',
            'ip': '127.0.0.1',
            'zone': self.zone,
            'region': 'kerala-central',
            **{f'zones.{zone}': 'kerala-central' for zone in ZONES},
            'listen.front': f'127.0.0.1:{self.port}',
            'listen.ready': f'127.0.0.1:{self.ready_port}',
            'listen.directory': f'127.0.0.1:{self.directory_port}',
            'port_range': f'{self.peer_port},{self.peer_port}',
            'bootstrap': 'true',
            'loss_counts': 'false',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4100',
            'limits.link_mbps': '1000.0',
            'limits.disk_mb': '0',
            'discovery': 'platform',
            'entry': 'registry',
            'heartbeat_ms': '1200',
            'bounds.seed_lag_s': '3',
            'bounds.reuse_after_s': '2',
            'bounds.contact_ms': '3000',
            'bounds.ack_ms': '4000',
            'bounds.catch_up_s': '4',
            'bounds.drain_ms': '2000',
            'bounds.grace_s': str(GRACE_S),
            'bounds.loss_slack_ms': '200',
            'bounds.config_apply_ms': '2000',
            'bounds.back_ms': '250',
            'bounds.max_skew_ms': '5000',
            'bounds.strict_revocation': 'true',
            'bounds.revoke_ms': '5000',
            'bounds.retry_ratio': '0.2',
            'bounds.retry_window_s': '10',
            'bounds.retry_slack': '202',
            'bounds.recovery_s': '12',
            'bounds.event_delay_ms': '120',
            'bounds.retry_after_s': '0',
            'bounds.stall_ms': '3000',
            'bounds.require_fencing': 'true',
            'bounds.ttl_max_s': '5',
            'platform.address': store_address,
            'platform.form': 'log',
            'platform.writes_per_s': '400',
            'platform.reads_per_s': '2000',
            'platform.parts': '24',
            'platform.append_ms': '1.0',
            'platform.record_bytes': '262144',
            'platform.call_bytes': '2097152',
            'platform.keep_s': '300',
            'platform.partition_mb': '200',
            'platform.ttl_min_ms': '1000',
        }
        return ''.join(f'{name}={text}\n' for name, text in fields.items())


class Deployment:
    """Store, replicas, routers and manifest of one run."""

    replica_type = Replica

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-3-'))
        self.log = PlatformLog()
        self.replicas = []
        self.routers = []
        self.version = 0

    async def start(self, routers=1, replicas=3):
        await self.log.server.start()
        self.write_manifest()
        for index in range(replicas):
            await self.add_replica('store-desk', ZONES[index % len(ZONES)])
        for index in range(routers):
            router = Router(self, index)
            router.start(self.store_address_of(router))
            self.routers.append(router)
        await self.wait_ready()

    def store_address_of(self, router):
        return self.log.server.address

    async def add_replica(self, service, zone):
        name = f'i-{len(self.replicas):04x}'
        replica = self.replica_type(self, name, service, zone)
        await replica.start()
        self.replicas.append(replica)
        return replica

    def manifest(self):
        route = {
            'host': HOST,
            'timeout_ms': 3000,
            'target_latency_ms': 400,
            'priority': 2,
            'service': 'store-desk',
            'public': False,
            'sticky': False,
            'resumable': False,
        }
        return {
            'version': self.version,
            'routes': [
                route
                | {
                    'name': 'r-issue',
                    'path_prefix': '/issue/',
                    'route_kind': 'non_idempotent',
                    'max_attempts': 1,
                },
                route
                | {
                    'name': 'r-look',
                    'path_prefix': '/look/',
                    'route_kind': 'idempotent',
                    'max_attempts': 2,
                },
            ],
            'services': [
                {
                    'name': 'store-desk',
                    'health_path': '/healthz',
                    'max_conns': 110,
                    'protocol': 'h1',
                    'tls': False,
                }
            ],
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 4_194_304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15_000,
            },
            'tenants': [
                {'name': 'ward-7', 'api_keys': ['key-7'], 'priority': 1}
            ],
        }

    def write_manifest(self):
        self.version += 1
        raw = json.dumps(self.manifest()).encode()
        self.log.put('keyed.op', 'config', raw)
        self.record.write(f'manifest {self.version} is acknowledged')

    async def wait_ready(self, wait_s=20.0):
        """Wait until all routers serve a request."""
        until = time.monotonic() + wait_s
        for number, router in enumerate(self.routers):
            while True:
                if time.monotonic() > until:
                    raise CannotRunError(f'{router.name} does not serve')
                client = Client(self, router)
                try:
                    await client.open()
                    await client.send(f'ready-{number}', 'GET', '/look/1')
                    if (await client.read())[0] == 200:
                        break
                except (ConnectionError, asyncio.IncompleteReadError):
                    pass
                finally:
                    client.close()
                await asyncio.sleep(0.2)
        self.record.write('all routers serve')

    def all_runs(self):
        return [run for replica in self.replicas for run in replica.runs]

    def stop(self):
        for router in self.routers:
            router.end()
        for replica in self.replicas:
            replica.stop()
        self.log.server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client's channel to one router."""

    def __init__(self, deployment, router, key='key-7'):
        self._deployment = deployment
        self._router = router
        self._key = key

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(
            '127.0.0.1', self._router.port
        )

    def encode(self, request_id, method, target, body=b'', deadline_ms=3000):
        lines = [
            f'{method} {target} HTTP/1.1',
            f'Host: {HOST}',
            f'Foxtailhatch-Request-Id: {request_id}',
            f'Foxtailhatch-Deadline-Ms: {deadline_ms}',
            f'Authorization: Bearer {self._key}',
        ]
        if method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join([*lines, '', '']).encode() + body

    async def send(self, request_id, method, target, body=b''):
        self._deployment.record.write(
            f'client sends {request_id} {method} {target} to {self._router.name}'
        )
        self._writer.write(self.encode(request_id, method, target, body))
        await self._writer.drain()

    async def send_together(self, requests):
        """Send several requests at once, without waiting for answers."""
        for request_id, method, target in requests:
            self._deployment.record.write(
                f'client sends {request_id} {method} {target}'
                f' to {self._router.name}'
            )
        self._writer.write(
            b''.join(self.encode(*request) for request in requests)
        )
        await self._writer.drain()

    async def read(self):
        """Return status, headers and body of the next answer."""
        head = await self._reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = read_headers(lines)
        status = int(first.split(' ')[1])
        if 'chunked' in headers.get('transfer-encoding', ''):
            body = await self._read_chunks()
        else:
            length = int(headers.get('content-length', 0))
            body = await self._reader.readexactly(length)
        return status, headers, body

    async def _read_chunks(self):
        body = b''
        while True:
            size = int(await self._reader.readuntil(b'\r\n'), 16)
            chunk = await self._reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]

    def close(self):
        writer = getattr(self, '_writer', None)
        if writer is not None:
            writer.close()


def read_headers(lines):
    pairs = (line.partition(':') for line in lines)
    return {name.lower(): text.strip() for name, colon, text in pairs if colon}


def parse_head(head):
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target = first.split(' ')[:2]
    return method, target, read_headers(lines)


def work_s(target):
    """Return the seconds of work that a path asks for."""
    return int(target.rsplit('/', 1)[1]) / 1000


def answer(status, body, headers):
    lines = [f'HTTP/1.1 {status} X']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def play(case_folder, scenario, deployment_type=Deployment):
    """Run a scenario; exit with 0, 1 or 2 as the issue asks."""

    async def run():
        deployment = deployment_type(case_folder)
        try:
            return await scenario(deployment)
        finally:
            deployment.stop()

    try:
        broken = asyncio.run(asyncio.wait_for(run(), 115))
    except Exception as exc:  # noqa: BLE001
        print(f'could not run: {exc!r}')
        sys.exit(NOT_RUN)
    print('the rule was broken' if broken else 'the rule held')
    sys.exit(BROKEN if broken else HELD)


async def _closes(reader):
    """Wait until the channel of a request closes, in whatever way."""
    try:
        await reader.read(1)
    except ConnectionError:
        return
