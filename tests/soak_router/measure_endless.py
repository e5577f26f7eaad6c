"""Measure what answers without end cost a router and the other requests.

``python -m tests.soak_router.measure_endless`` starts a router for each kind of
answer, sends requests whose endpoints answer with it until the connection is
closed, and prints a JSON object a line: the memory of the router before and at
its peak, the longest time that its ready page took, and the outcomes of other
requests meanwhile.  The kinds of calls are played against the client for
reports in a process of its own.  Run it in another work tree to compare.
"""

import asyncio
import json
import resource
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import Counter
from pathlib import Path

import click

from standins.platform_engine import StubEndpoint
from tests.soak_router.client import HOST, send_request
from tests.soak_router.test_router import all_serve
from tests.soak_router.world import World, wait_until

REQUESTS = 60
CALLS = 93
CALL_TIMEOUT_S = 1.0
OTHERS = 40
OTHER_PERIOD_S = 0.1
PROBE_PERIOD_S = 0.02
PIECE_BYTES = 65_536
MB = 1_000_000
KB_IN_MB = 1000
PREFIX = 'endless'
STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
STREAM = b'Content-Type: text/event-stream\r\n' + CHUNKED


def chunk(raw):
    return b'%x\r\n%s\r\n' % (len(raw), raw)


# The path of the requests, the begin of each answer, and what follows without end.
ANSWERS = {
    'short headers': ('/m/x', STATUS, b'a:b\r\n'),
    'long header': ('/m/x', STATUS + b'X: ', b'a' * 997),
    'body': ('/read/x', STATUS + b'\r\n', b'a' * 997),
    'one-byte chunks': ('/read/x', STATUS + CHUNKED, chunk(b'a')),
    'event in small pieces': (
        '/m/x',
        STATUS + STREAM + chunk(b'id: 1\ndata: '),
        chunk(b'a' * 50),
    ),
    'repeated event': ('/m/x', STATUS + STREAM, chunk(b'id: 1\n\n')),
}
CALL_ANSWERS = {
    'reports: body': (STATUS + b'\r\n', b'a' * 997),
    'reports: short headers': (STATUS, b'a:b\r\n'),
    'reports: one-byte chunks': (STATUS + CHUNKED, chunk(b'a')),
}


async def write_endlessly(writer, begin, more):
    """Write until the other end closes the connection."""
    piece = more * (PIECE_BYTES // len(more))
    writer.write(begin)
    try:
        while True:
            writer.write(piece)
            await writer.drain()
    except ConnectionError:
        return


def world_with(begin, more):
    """Return a world that answers the chosen requests without end."""

    class Endpoint(StubEndpoint):
        async def _handle(self, req, writer):
            name = req.headers.get('foxtailhatch-request-id', '')
            if not name.startswith(PREFIX):
                return await super()._handle(req, writer)
            seal = f'Foxtailhatch-Request-Id: {name}\r\n'.encode()
            await write_endlessly(
                writer, begin.replace(STATUS, STATUS + seal), more
            )
            return None

    class EndlessWorld(World):
        endpoint_type = Endpoint

    return EndlessWorld


async def request_and_drop(address, name, path):
    """Send a request, and drop what comes until the connection is closed."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Foxtailhatch-Request-Id: {name}\r\n'
        'Foxtailhatch-Deadline-Ms: 10000\r\nFoxtailhatch-Model: m\r\n'
        'Foxtailhatch-Token-Usage: 100,60\r\n'
        'Authorization: Bearer key\r\nConnection: close\r\n\r\n'.encode()
    )
    try:
        while await reader.read(PIECE_BYTES):
            continue
    except ConnectionError:
        return
    finally:
        writer.close()


async def measure(folder, kind):
    """Return the measured figures of one kind of answer."""
    path, begin, more = ANSWERS[kind]
    world = world_with(begin, more)(folder)
    try:
        await world.start(1)
        await wait_until(lambda: all_serve(world), 'the router does not serve')
        router = world.routers[0]
        before = memory_mb(router.process.pid, 'VmRSS')
        probe = await run_part('probe', router.ready_address)
        sends = [
            asyncio.ensure_future(
                request_and_drop(router.address, f'{PREFIX}-{number}', path)
            )
            for number in range(REQUESTS)
        ]
        others = await run_part('others', router.address)
        outcomes, _ = await others.communicate()
        probe.stdin.close()
        longest, _ = await probe.communicate()
        for send in sends:
            send.cancel()
        await asyncio.gather(*sends, return_exceptions=True)
        return {
            'kind': kind,
            'before_mb': before,
            'peak_mb': memory_mb(router.process.pid, 'VmHWM'),
            'longest_s': json.loads(longest),
            'others': json.loads(outcomes),
        }
    finally:
        world.stop()


async def run_part(name, *arguments):
    """Start a part of the measurement in a process of its own."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.soak_router.measure_endless',
        '--part',
        name,
        *arguments,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )


def memory_mb(pid, field):
    """Return a field of the status of a process, in MB."""
    status = Path(f'/proc/{pid}/status').read_text().splitlines()
    line = next(line for line in status if line.startswith(f'{field}:'))
    return int(line.split()[1]) // KB_IN_MB


def probe_page(address):
    """Return the longest time of the ready page until the input ends."""
    import threading

    ended = threading.Event()
    threading.Thread(
        target=lambda: (sys.stdin.read(), ended.set()), daemon=True
    ).start()
    longest = 0
    while not ended.wait(PROBE_PERIOD_S):
        begun_at = time.monotonic()
        try:
            url = f'http://{address}/readyz'
            urllib.request.urlopen(url, timeout=10).read()
        except OSError:
            pass
        longest = max(longest, time.monotonic() - begun_at)
    return round(longest, 3)


async def send_others(address):
    """Return the outcomes of requests with sound answers."""
    pending = []
    for number in range(OTHERS):
        path = '/m/x' if number % 2 else '/read/x'
        request = send_request(address, f'other-{number}', path)
        pending.append(asyncio.ensure_future(request))
        await asyncio.sleep(OTHER_PERIOD_S)
    return Counter(map(outcome_of, await asyncio.gather(*pending)))


def outcome_of(response):
    if not response.is_whole:
        return 'cut' if response.status else 'none'
    if response.status == 200:
        return 'served'
    return json.loads(response.body)['error']


async def serve_calls(kind):
    """Return the figures of calls whose answers have no end."""
    begin, more = CALL_ANSWERS[kind]

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        await write_endlessly(writer, begin, more)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0, backlog=CALLS)
    address = '{}:{}'.format(*server.sockets[0].getsockname())
    part = await run_part('calls', address)
    figures, _ = await part.communicate()
    return {'kind': kind, **json.loads(figures)}


def call_reports(address):
    """Return the figures of this process for calls that are made at once."""
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
    from twisted.internet import reactor

    from foxtailhatch.relay.http_client import HttpCall, HttpClient

    call = HttpCall('GET', '/report', timeout_s=CALL_TIMEOUT_S)
    figures = {}

    async def watch():
        loop = asyncio.get_running_loop()
        longest = 0
        while not figures:
            begun_at = loop.time()
            await asyncio.sleep(PROBE_PERIOD_S)
            longest = max(longest, loop.time() - begun_at - PROBE_PERIOD_S)
        figures['longest_s'] = round(longest, 3)

    async def run():
        watching = asyncio.ensure_future(watch())
        clients = [HttpClient(reactor, address, 0) for _ in range(CALLS)]
        outcomes = await asyncio.gather(
            *(client.call(call) for client in clients)
        )
        faults = (str(outcome.failure().value) for outcome in outcomes)
        figures['outcomes'] = dict(Counter(faults))
        await watching
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        figures['peak_mb'] = peak // KB_IN_MB
        reactor.stop()

    # The reactor runs the loop that it was made with.
    reactor.callWhenRunning(lambda: asyncio.ensure_future(run()))
    reactor.run()
    return figures


def run_named_part(part, address):
    if part == 'probe':
        return probe_page(address)
    if part == 'others':
        return asyncio.run(send_others(address))
    return call_reports(address)


@click.command()
@click.option('--part', hidden=True, default='')
@click.option('--kind', 'kinds', multiple=True, help='All if none is given.')
@click.argument('address', default='')
def main(part, kinds, address):
    """Print the figures of each kind of answer, as a JSON object a line."""
    if part:
        click.echo(json.dumps(run_named_part(part, address)))
        return
    for kind in kinds or (*ANSWERS, *CALL_ANSWERS):
        if kind in ANSWERS:
            folder = tempfile.mkdtemp(prefix='endless-')
            figures = asyncio.run(measure(folder, kind))
        else:
            figures = asyncio.run(serve_calls(kind))
        click.echo(json.dumps(figures))


if __name__ == '__main__':
    main()
