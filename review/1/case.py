"""Routers that keep a thousand large manifests run out of memory."""

import asyncio
import time
from pathlib import Path

from common.bulk import grow, manifest_bytes
from common.http import Answer, read_answer
from common.world import HOST, KEY, main

ZONES = ('z1', 'z2', 'z3')
# Settings of the deployment: limits.memory_mb.
MEMORY_BYTES = 300e6
# A storm of manifests: a change each 0.08 s, for 2 s.
GAP_S = 0.08
STORM_CHANGES = 25
PAUSE_S = 0.1
RUN_S = 98.0
CLIENTS = 8
WORK_S = 0.25
ALLOWED = 3


def memory_bytes(process):
    for line in Path(f'/proc/{process.pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    return 0


class Client:
    """A client that keeps its channel; counts what was lost on it."""

    def __init__(self, world, router):
        self.lost = []
        self._world = world
        self._router = router

    async def run(self, stop):
        while not stop.is_set():
            try:
                await self._channel(stop)
            except OSError:
                await asyncio.sleep(0.3)

    async def _channel(self, stop):
        host, _, port = self._router.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        answered = 0
        try:
            while not stop.is_set():
                request_id = self._world.next_id()
                writer.write(
                    f'POST /once/x HTTP/1.1\r\nHost: {HOST}\r\n'
                    f'Foxtailhatch-Request-Id: {request_id}\r\n'
                    f'Foxtailhatch-Deadline-Ms: 3000\r\n'
                    f'Authorization: Bearer {KEY}\r\n'
                    f'Content-Length: 0\r\n\r\n'.encode()
                )
                self._world.record.write(
                    f'sent {request_id} to {self._router.name}'
                )
                answer = Answer()
                try:
                    await read_answer(reader, answer)
                except (OSError, asyncio.IncompleteReadError):
                    self._world.record.write(f'closed, no answer {request_id}')
                    if answered:
                        self.lost.append(request_id)
                    return
                answered += 1
                self._world.record.write(
                    f'answered {request_id} {answer.status}'
                )
                if answer.headers.get('connection') == 'close':
                    return
        finally:
            writer.close()


async def platform(world, kills):
    """Kill a process that exceeds its memory, and start it again."""
    while True:
        await asyncio.sleep(0.5)
        sizes = {}
        for router in world.routers:
            if router.process.poll() is not None:
                kills.append((router.name, 'ended'))
                router.start()
                continue
            used = memory_bytes(router.process)
            sizes[router.name] = round(used / 1e6)
            if used > MEMORY_BYTES:
                world.record.say(
                    f'{router.name} uses {used / 1e6:.1f} MB and is killed'
                )
                kills.append((router.name, used))
                router.process.kill()
                router.process.wait()
                await asyncio.sleep(0.3)
                router.start()
        world.record.write(f'memory in MB: {sizes}')


async def case(world, trouble):
    began = time.monotonic()
    for zone in ZONES:
        for _ in range(2):
            await world.add_plain(zone, work_s=WORK_S)
    for _ in range(3):
        grow(world)
    for zone in ZONES:
        await world.add_router(zone)
    if not await world.wait_ready():
        return 2
    world.record.say(f'a manifest has {manifest_bytes(world)} bytes')
    kills = []
    watching = asyncio.ensure_future(platform(world, kills))
    stop = asyncio.Event()
    clients = [
        Client(world, router) for router in world.routers for _ in range(CLIENTS)
    ]
    running = [asyncio.ensure_future(client.run(stop)) for client in clients]
    await asyncio.sleep(1.0)
    while time.monotonic() - began < RUN_S and not kills:
        for _ in range(STORM_CHANGES):
            if trouble:
                world.configure()
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(4.0)
    stop.set()
    watching.cancel()
    await asyncio.wait(running, timeout=4.0)
    ran = {one for replica in world.plain for _, one in replica.arrivals}
    lost = [one for client in clients for one in client.lost]
    passed_on = [one for one in lost if one in ran]
    world.record.say(
        f'{world.version} manifests; processes that exceeded their memory: '
        f'{[name for name, _ in kills]}; requests on kept channels that a '
        f'replica ran and whose channel closed without an answer: '
        f'{len(passed_on)}'
    )
    return 1 if len(passed_on) > ALLOWED else 0


main(case, Path(__file__).with_name('record.txt'))
