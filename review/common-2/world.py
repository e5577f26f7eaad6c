"""Stand-ins for the platform, and the routers of a small deployment.

The store, the replicas and the clients run in the process of the script; the
routers are processes of their own, started with the command of the deploy file.
Everything is on loopback addresses and the real clock.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CONTACT_S = 3.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
ZONES = ('z-a', 'z-b', 'z-c')
HOST = 'depot.example'
METRICS_PORT = '7355'


def run_command():
    """Return the words of ``run`` in the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    line = next(one for one in text.splitlines() if one.startswith('run = '))
    return line.split('"')[1].split()


class Record:
    """What was sent, answered and run, one line each, with the time."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f'{self.now():8.3f}  {text}\n')
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    return first, {name.strip().lower(): text.strip() for name, _, text in pairs}


async def read_body(reader, headers):
    """Return the body of a request or of a framed answer."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


def answer(status, headers=None, body=b''):
    """Return a whole answer with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Server:
    """A server whose ``handle`` answers one request after the other."""

    def __init__(self):
        self.address = ''
        self.writers = set()
        self._server = None

    async def listen(self, host='127.0.0.1', port=0):
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**22)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target = first.split(' ')[:2]
                if not await self.handle(method, target, headers, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Close the port and reset all channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: keyed topics and groups (PROTOCOL.md)."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.era = None
        self.is_down = False
        self._groups = {}
        self._changed = asyncio.Event()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, content):
        """Append a record of a keyed topic, as operator and replicas do."""
        raw = key.encode()
        self.records(topic).append(bytes([len(raw)]) + raw + (content or b''))
        self._changed.set()
        self._changed = asyncio.Event()

    def configure(self, manifest):
        self.put('keyed.op', 'config', json.dumps(manifest).encode())

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, query = target.partition('?')
        fields = dict(pair.split('=', 1) for pair in query.split('&') if pair)
        if self.is_down:
            reply = answer(503)
        else:
            reply = await self.reply(path, fields, body)
        if self.era is not None:
            first, rest = reply.split(b'\r\n', 1)
            reply = b'\r\n'.join([first, b'Store-Era: %d' % self.era, rest])
        writer.write(reply)
        await writer.drain()
        return True

    async def reply(self, path, fields, body):
        if path == '/log-read':
            return await self._read(fields)
        if path == '/log-newest':
            return self._newest(fields)
        if path == '/log-append':
            return self._append(fields, body)
        if path == '/log-join':
            return self._join(json.loads(body))
        if path == '/log-leave':
            return self._leave(json.loads(body))
        if path == '/log-owners':
            return self._owners(fields)
        return answer(404)

    async def _read(self, fields):
        topic, offset = fields['topic'], int(fields['from'])
        records = self.records(topic)
        if offset > len(records):
            return answer(410, {}, json.dumps({'first_offset': 0}).encode())
        until = time.monotonic() + int(fields.get('wait_ms', 0)) / 1000
        while len(records) <= offset and time.monotonic() < until:
            try:
                await asyncio.wait_for(self._changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        framed = [struct.pack('>I', len(one)) + one for one in records[offset:]]
        return answer(200, {}, struct.pack('>QQ', len(records), 0) + b''.join(framed))

    def _newest(self, fields):
        latest = {}
        for offset, record in enumerate(self.records(fields['topic'])):
            end = 1 + record[0]
            latest[record[1:end].decode()] = (record[end:], offset)
        items = [
            {'key': key, 'value': base64.b64encode(content).decode(), 'offset': offset}
            for key, (content, offset) in latest.items()
            if content
        ]
        document = {
            'items': items,
            'has_more': False,
            'end_offset': len(self.records(fields['topic'])),
        }
        return answer(200, {'Content-Type': 'application/json'}, json.dumps(document).encode())

    def _append(self, fields, body):
        first = len(self.records(fields['topic']))
        position = 0
        while position < len(body):
            size = struct.unpack_from('>I', body, position)[0]
            record = body[position + 4 : position + 4 + size]
            end = 1 + record[0]
            self.put(fields['topic'], record[1:end].decode(), record[end:] or None)
            position += 4 + size
        document = {'offset': first, 'end_offset': len(self.records(fields['topic']))}
        return answer(200, {}, json.dumps(document).encode())

    def _group(self, name):
        group = self._groups.setdefault(name, {'generation': 0, 'members': {}})
        now = time.monotonic()
        lapsed = [name for name, until in group['members'].items() if until < now]
        for member in lapsed:
            group['members'].pop(member)
        group['generation'] += bool(lapsed)
        return group

    def _join(self, call):
        group = self._group(call['group'])
        if call['member'] not in group['members']:
            group['generation'] += 1
        group['members'][call['member']] = time.monotonic() + call['ttl_ms'] / 1000
        members = list(group['members'])
        place = members.index(call['member'])
        rows = [
            [topic, part, 0]
            for topic in call['topics']
            for part in range(24)
            if part % len(members) == place
        ]
        document = {'generation': group['generation'], 'parts': rows}
        return answer(200, {}, json.dumps(document).encode())

    def _leave(self, call):
        group = self._group(call['group'])
        if group['members'].pop(call['member'], None) is not None:
            group['generation'] += 1
        return answer(200, {}, b'{}')

    def _owners(self, fields):
        members = list(self._group(fields['group'])['members'])
        rows = [
            ['placement', part, members[part % len(members)], 0]
            for part in range(24)
            if members
        ]
        return answer(200, {}, json.dumps({'owners': rows}).encode())


class Door(Server):
    """The way of one entry to the store; while it ``is_shut``, nothing comes back."""

    def __init__(self, store):
        super().__init__()
        self.is_shut = False
        self._store = store

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, query = target.partition('?')
        fields = dict(pair.split('=', 1) for pair in query.split('&') if pair)
        reply = None if self.is_shut else await self._store.reply(path, fields, body)
        if self.is_shut or reply is None:
            # A channel on which an answer is lost returns nothing further.
            await reader.read()
            return False
        writer.write(reply)
        await writer.drain()
        return True


class Replica(Server):
    """A replica of a plain service; a check-in every 1.2 s."""

    def __init__(self, store, record, name, service, zone, work_s=0.05):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.work_s = work_s
        self.state = 'ready'
        self.is_gone = False
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.extra = {}
        self.arrivals = []
        self.ran = {}
        self._store, self._record = store, record

    async def begin(self):
        await self.listen()
        self._beat()

    def check_in(self):
        self.seq += 1
        entry = {
            'service': self.service, 'address': self.address, 'zone': self.zone,
            'version': 1, 'slots': 6, 'state': self.state, 'cold_left_ms': 0,
            'seq': self.seq, 'born': self.born,
        }
        self._store.put('keyed.servers', self.name, json.dumps(entry).encode())

    def _beat(self):
        if not self.is_gone:
            self.check_in()
            asyncio.get_running_loop().call_later(HEARTBEAT_S, self._beat)

    async def handle(self, method, target, headers, body, reader, writer):
        request_id = headers.get('foxtailhatch-request-id')
        if request_id is None:
            status = 200 if target.split('?')[0] == '/healthz' else 404
            writer.write(answer(status, {'Foxtailhatch-Instance-Id': self.name}))
            await writer.drain()
            return True
        if headers.get('foxtailhatch-expect-instance', self.name) != self.name:
            writer.write(answer(421, {'Foxtailhatch-Instance-Id': self.name}))
            await writer.drain()
            return True
        self.arrivals.append((self._record.now(), request_id))
        return await self.serve(request_id, method, target, headers, body, reader, writer)

    async def serve(self, request_id, method, target, headers, body, reader, writer):
        """Run a request and answer it."""
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, self.head(request_id), b'x' * 800))
        await writer.drain()
        return True

    def head(self, request_id):
        return {
            'Foxtailhatch-Request-Id': request_id,
            'Foxtailhatch-Response-Seal': f's.{self.name}.{request_id}',
            **self.extra,
        }


class Entry:
    """One entry machine: its addresses, settings and process."""

    def __init__(self, number, zone, store_address, folder, base, bounds=None):
        self.name = f'edge-{number}'
        self.ip = f'127.{base}.{number}.1'
        self.zone = zone
        self.ports = {}
        self._store_address = store_address
        self._folder = Path(folder)
        self._bounds = bounds or {}
        self.process = None

    def settings(self):
        fields = {
            'node_name': self.name, 'role': 'router', 'machine_class': 'edge',
            'serves': 'edge,registry', 'ip': self.ip, 'zone': self.zone,
            'region': 'here', **{f'zones.{zone}': 'here' for zone in ZONES},
            'listen.front': f'{self.ip}:{self.ports["front"]}',
            'listen.ready': f'{self.ip}:{self.ports["ready"]}',
            'listen.directory': f'{self.ip}:{self.ports["directory"]}',
            'port_range': f'{self.ports["peer"]},{self.ports["peer"] + 15}',
            'seeds': '', 'bootstrap': 'true', 'loss_counts': 'false',
            'limits.cpu_share': '0.537', 'limits.cores': '2',
            'limits.memory_mb': '300', 'limits.max_fds': '4100',
            'limits.link_mbps': '1000.0', 'limits.disk_mb': '0',
            'discovery': 'platform', 'entry': 'registry', 'heartbeat_ms': '1200',
            'contracts': 'base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers',
            'bounds.seed_lag_s': '3', 'bounds.reuse_after_s': '2',
            'bounds.contact_ms': '3000', 'bounds.ack_ms': '4000',
            'bounds.catch_up_s': '4', 'bounds.drain_ms': '2000',
            'bounds.grace_s': '8', 'bounds.loss_slack_ms': '200',
            'bounds.config_apply_ms': '2000', 'bounds.back_ms': '250',
            'bounds.max_skew_ms': '5000', 'bounds.strict_revocation': 'true',
            'bounds.revoke_ms': '5000', 'bounds.retry_ratio': '0.2',
            'bounds.retry_window_s': '10', 'bounds.retry_slack': '202',
            'bounds.recovery_s': '12', 'bounds.event_delay_ms': '120',
            'bounds.retry_after_s': '0', 'bounds.stall_ms': '3000',
            'bounds.require_fencing': 'true', 'bounds.ttl_max_s': '5',
            'platform.address': self._store_address, 'platform.form': 'log',
            'platform.writes_per_s': '400', 'platform.reads_per_s': '2000',
            'platform.parts': '24', 'platform.append_ms': '1.0',
            'platform.partition_mb_s': '20.0', 'platform.read_mb_s': '80.0',
            'platform.record_bytes': '262144', 'platform.call_bytes': '2097152',
            'platform.keep_s': '300', 'platform.partition_mb': '200',
            'platform.ttl_min_ms': '1000', **self._bounds,
        }
        return ''.join(f'{name}={text}\n' for name, text in fields.items())

    def start(self):
        path = self._folder / f'{self.name}.conf'
        path.write_text(self.settings())
        log = (self._folder / f'{self.name}.log').open('ab')
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        self.process = subprocess.Popen(
            run_command(), cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env=kept | {
                'PYTHONPATH': f'{ROOT / "target" / "deps"}:{ROOT}',
                'PYTHONDONTWRITEBYTECODE': '1',
                'FOXTAILHATCH_SETTINGS': str(path),
            },
        )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self):
        return (self._folder / f'{self.name}.log').read_text(errors='replace')


def pick_base(entries):
    """Return the second byte of loopback addresses whose metrics port is free."""
    while True:
        base = random.SystemRandom().randrange(10, 250)
        hosts = [f'127.{base}.{number}.1' for number in range(1, entries + 1)]
        if all(is_free(host, int(METRICS_PORT)) for host in hosts):
            return base, hosts


def pick_ports(hosts, count):
    """Return ports below the ephemeral ones that are free on all entries."""
    found = []
    while len(found) < count:
        port = random.SystemRandom().choice(range(15_000, 30_000, 20))
        if port not in found and all(is_free(host, port) for host in hosts):
            found.append(port)
    return found


def is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class World:
    """The store, the replicas, the entries and the record of a case."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / 'record.txt')
        self.store = Store()
        self.replicas = []
        self.entries = []
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self._temporary.name)
        # The ways of the entries to the store, by number, where they are apart.
        self.doors = None

    async def begin(self, manifest, entries, make_replicas):
        await self.store.listen()
        self.store.configure(manifest)
        self.replicas = make_replicas(self)
        for replica in self.replicas:
            await replica.begin()
        base, hosts = pick_base(entries)
        ports = dict(zip(('front', 'ready', 'directory', 'peer'), pick_ports(hosts, 4)))
        for number in range(1, entries + 1):
            address = self.store.address
            if self.doors is not None:
                self.doors[number] = Door(self.store)
                await self.doors[number].listen()
                address = self.doors[number].address
            entry = Entry(
                number, ZONES[(number - 1) % len(ZONES)],
                address, self.folder, base,
            )
            entry.ports = ports
            self.entries.append(entry)
            entry.start()

    async def wait_ready(self, wait_s=25.0):
        until = time.monotonic() + wait_s
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > until:
                    raise RuntimeError(f'{entry.name} is not ready')
                await asyncio.sleep(0.2)

    async def is_ready(self, entry):
        try:
            status, _, _ = await asyncio.wait_for(
                get(entry.ip, entry.ports['ready'], '/readyz'), 1
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def end(self, keep_logs=None):
        keep_logs = keep_logs or os.environ.get('KEEP_LOGS')
        for entry in self.entries:
            entry.end()
        for replica in self.replicas:
            replica.is_gone = True
            replica.stop()
        self.store.stop()
        for door in (self.doors or {}).values():
            door.stop()
        if keep_logs:
            for entry in self.entries:
                (Path(keep_logs) / f'{entry.name}.log').write_text(entry.log())
        self._temporary.cleanup()


async def get(host, port, target):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f'GET {target} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n'.encode())
        first, headers = await read_head(reader)
        return int(first.split(' ')[1]), headers, await read_body(reader, headers)
    finally:
        writer.close()


class Outcome:
    """What a client saw of one request."""

    def __init__(self, status=None, headers=None, body=b'', is_whole=False, why=''):
        self.status, self.headers, self.body = status, headers or {}, body
        self.is_whole, self.why = is_whole, why


async def ask(entry, request_id, method, path, body=b'', key='key-1', deadline_ms=3000, extra=None):
    """Send a request on a new channel, and return what came of it."""
    try:
        return await asyncio.wait_for(
            _ask(entry, request_id, method, path, body, key, deadline_ms, extra),
            deadline_ms / 1000,
        )
    except TimeoutError:
        return Outcome(why='time limit')
    except (OSError, asyncio.IncompleteReadError) as exc:
        return Outcome(why=f'channel ended: {type(exc).__name__}')


async def _ask(entry, request_id, method, path, body, key, deadline_ms, extra):
    reader, writer = await asyncio.open_connection(entry.ip, entry.ports['front'])
    try:
        headers = {
            'Host': HOST, 'Foxtailhatch-Request-Id': request_id,
            'Foxtailhatch-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {key}', **(extra or {}),
        }
        if method == 'POST':
            headers['Content-Length'] = str(len(body))
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        first, got = await read_head(reader)
        return Outcome(int(first.split(' ')[1]), got, await read_body(reader, got), True)
    finally:
        writer.close()


def manifest(version, services=('desk',), **changes):
    """Return a manifest with one idempotent and one non-idempotent route."""
    document = {
        'version': version,
        'routes': [
            {'name': 'look', 'host': HOST, 'path_prefix': '/look/', 'route_kind': 'idempotent',
             'service': 'desk', 'timeout_ms': 1500, 'target_latency_ms': 300,
             'priority': 2, 'max_attempts': 2},
            {'name': 'issue', 'host': HOST, 'path_prefix': '/issue/', 'route_kind': 'non_idempotent',
             'service': 'desk', 'timeout_ms': 1500, 'target_latency_ms': 300,
             'priority': 2, 'max_attempts': 1},
        ],
        'services': [{'name': name, 'health_path': '/healthz', 'max_conns': 110} for name in services],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                   'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        'tenants': [{'name': 'crew', 'api_keys': ['key-1']}],
    }
    return document | changes


def run_case(case, folder, entries, make_replicas, first_manifest, limit_s=112.0, has_doors=False):
    """Run ``case(world, is_troubled)``, which returns why the rule is broken, or ''.

    Exit with 1 if it was broken, 0 if it held, and 2 if the case could not run.
    All processes that were started are ended in any case.
    """
    is_troubled = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(folder)
        if has_doors:
            world.doors = {}
        try:
            await world.begin(first_manifest, entries, make_replicas)
            await world.wait_ready()
            # Each entry has seen the others' check-ins, and calm machines are in touch.
            await asyncio.sleep(8.0)
            return world, await case(world, is_troubled)
        finally:
            world.end()

    try:
        world, why = asyncio.run(asyncio.wait_for(play(), limit_s))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as exc:
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        sys.exit(2)
    print(f'broken: {why}' if why else 'held')
    world.record.write(f'verdict: broken: {why}' if why else 'verdict: held')
    sys.exit(1 if why else 0)
