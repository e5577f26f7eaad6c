"""Measure what callers' input in small pieces costs a router and other requests.

``python -m tests.soak_router.measure_tiny_chunks`` starts a router for each kind
of input, lets 200 connections send it for 8 s as fast as they may, and prints a
JSON object a line: the times of other requests before and meanwhile (5 s for one
that did not end), the memory before and at its peak, the processor time that
the router used in the second that begins 1 s after the end of these callers, and
what the callers were answered.  Run it in another work tree to compare.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

from tests.soak_router.client import HOST, send_request
from tests.soak_router.test_router import all_serve
from tests.soak_router.world import World, wait_until

CONNECTIONS = 200
SECONDS = 8.0
OTHERS = 16
OTHER_PERIOD_S = 0.25
LIMIT_S = 5.0
PIECE_BYTES = 65_536
KB_IN_MB = 1000
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
HEAD = (
    f'POST %s HTTP/1.1\r\nHost: {HOST}\r\n'
    'Foxtailhatch-Request-Id: many\r\nFoxtailhatch-Deadline-Ms: 10000\r\n'
    'Authorization: Bearer key\r\n'
)
CHUNKED = HEAD + 'Transfer-Encoding: chunked\r\n\r\n'


def chunk(raw):
    return b'%x\r\n%s\r\n' % (len(raw), raw)


# The port and path, the begin of the input, and what follows without end.
INPUTS = {
    'one-byte chunks': ('front', '/read/x', CHUNKED, chunk(b'z')),
    'chunk extensions': ('front', '/read/x', CHUNKED, b'1;x=y\r\nz\r\n'),
    'long extensions': (
        'front',
        '/read/x',
        CHUNKED,
        b'1;%s\r\nz\r\n' % (b'x' * 1000),
    ),
    'trailers': ('front', '/read/x', CHUNKED + '0\r\n', b'a:b\r\n'),
    'short headers': ('front', '/read/x', HEAD, b'a:b\r\n'),
    'pipelined requests': ('front', '/', '', b'GET /x HTTP/1.1\r\n\r\n'),
    'feed page': ('peer', '/feed', CHUNKED, chunk(b'z')),
    'ready page': ('ready', '/readyz', CHUNKED, chunk(b'z')),
    'pipelined pages': ('ready', '/', '', b'GET /readyz HTTP/1.1\r\n\r\n'),
    'chunks of 1 kB': ('front', '/read/x', CHUNKED, chunk(b'z' * 1024)),
}


async def send_input(address, kind, seconds, connections, again):
    """Return how many connections got which first line of an answer."""
    _, path, begin, more = INPUTS[kind]
    host, _, port = address.rpartition(':')
    piece = more * (PIECE_BYTES // len(more))
    statuses = Counter()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        answer = asyncio.ensure_future(reader.readline())
        try:
            writer.write((begin % path if begin else begin).encode())
            while True:
                writer.write(piece)
                await writer.drain()
        except ConnectionError:
            statuses['closed'] += 1
        finally:
            if answer.done() and not answer.exception():
                statuses[answer.result()[:12].decode()] += 1
            answer.cancel()
            writer.transport.abort() if again else writer.close()

    async def send():
        await exchange()
        while again:
            await exchange()

    sends = [asyncio.ensure_future(send()) for _ in range(connections)]
    await asyncio.sleep(seconds)
    for task in sends:
        task.cancel()
    await asyncio.gather(*sends, return_exceptions=True)
    return dict(statuses)


async def time_others(router, count):
    """Return the times of requests of other callers, and their outcomes."""
    loop = asyncio.get_running_loop()

    async def timed(number):
        begun_at = loop.time()
        response = await send_request(
            router.address,
            f'other-{begun_at}-{number}',
            '/read/x',
            wait_s=LIMIT_S,
        )
        served = response.is_whole and response.status == 200
        return round(loop.time() - begun_at, 3), served

    pending = []
    for number in range(count):
        pending.append(asyncio.ensure_future(timed(number)))
        await asyncio.sleep(OTHER_PERIOD_S)
    timings = await asyncio.gather(*pending)
    times = sorted(took_s for took_s, _ in timings)
    return times, sum(served for _, served in timings)


def cpu_seconds(pid):
    """Return the processor time of a process."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid, field):
    """Return a field of the status of a process, in MB."""
    status = Path(f'/proc/{pid}/status').read_text().splitlines()
    line = next(line for line in status if line.startswith(f'{field}:'))
    return int(line.split()[1]) // KB_IN_MB


async def measure(folder, kind, seconds=SECONDS, again=False, others=OTHERS):
    """Return the measured figures of one kind of input."""
    world = World(folder)
    sender = None
    try:
        await world.start(1)
        await wait_until(lambda: all_serve(world), 'the router does not serve')
        router = world.routers[0]
        pid = router.process.pid
        usual, _ = await time_others(router, others)
        before = memory_mb(pid, 'VmRSS')
        part = INPUTS[kind][0]
        sender = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.soak_router.measure_tiny_chunks',
            '--send-to',
            f'127.0.0.1:{router.ports[part]}',
            '--kind',
            kind,
            '--seconds',
            str(seconds),
            *(('--again',) if again else ()),
            stdout=subprocess.PIPE,
        )
        await asyncio.sleep(1.5)
        cpu_s = cpu_seconds(pid)
        begun_at = time.monotonic()
        times, served = await time_others(router, others)
        used = cpu_seconds(pid) - cpu_s
        use_meanwhile = used / (time.monotonic() - begun_at)
        answers, _ = await sender.communicate()
        await asyncio.sleep(1)
        cpu_s = cpu_seconds(pid)
        await asyncio.sleep(1)
        return {
            'kind': kind,
            'usual_s': [usual[len(usual) // 2], usual[-1]],
            'others_s': [times[len(times) // 2], times[-1]],
            'others_served': [served, others],
            'memory_mb': [before, memory_mb(pid, 'VmHWM')],
            'cpu_meanwhile': round(use_meanwhile, 2),
            'cpu_after': round(cpu_seconds(pid) - cpu_s, 2),
            'answers': json.loads(answers),
            'log': router.log_text(),
        }
    finally:
        if sender is not None and sender.returncode is None:
            sender.kill()
        world.stop()


@click.command()
@click.option('--send-to', hidden=True, default='')
@click.option('--kind', 'kinds', multiple=True, help='All if none is given.')
@click.option('--seconds', default=SECONDS)
@click.option('--again', is_flag=True, help='Connect again after an end.')
def main(send_to, kinds, seconds, again):
    """Print the figures of each kind of input, as a JSON object a line."""
    if send_to:
        sending = send_input(send_to, kinds[0], seconds, CONNECTIONS, again)
        click.echo(json.dumps(asyncio.run(sending)))
        return
    for kind in kinds or INPUTS:
        folder = tempfile.mkdtemp(prefix='tiny-')
        figures = asyncio.run(measure(folder, kind, seconds, again))
        del figures['log']
        click.echo(json.dumps(figures))


if __name__ == '__main__':
    main()
