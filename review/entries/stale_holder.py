"""The entry of KNOWN-RED.txt on the leader lease, with real processes.

The store turns the holder away, and the peer that it asks first is frozen.
"""

import asyncio
import json
import signal
import time
import zlib
from pathlib import Path

from common.http import ask
from common.world import HOST, KEY, main
from standins.platform_engine import EndpointPool, StubEndpoint
from tests.soak_router import world as soak

ZONES = ('z1', 'z2', 'z3')
FREEZE_S = 4.0
AWAY_S = 7.0
# The engine crashes when the lease of 1.5 s has passed on.
CRASH_AFTER_S = 2.2
STREAMS = 8


def now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def add_endpoints(world):
    pool = EndpointPool(world.store)
    nodes = []
    for zone in ZONES:
        for kind in (*soak.ENGINES, 'large', ''):
            service = 'llm' if kind else 'desk'
            name = f'i-{len(nodes) + 1}'
            node = StubEndpoint(pool, name, service, zone)
            node.accelerator_kind = kind
            await node.start()
            nodes.append(node)
    return nodes


def configure(world):
    document = soak.configuration(1)
    document['routes'] = [
        route | {'host': HOST} for route in document['routes']
    ]
    document['tenants'] = [{'name': 'crew', 'api_keys': [KEY]}]
    world.store.put('keyed.op', 'config', json.dumps(document).encode())


async def stream(world, router):
    request_id = world.next_id()
    fields = {
        'Host': HOST,
        'Foxtailhatch-Request-Id': request_id,
        'Foxtailhatch-Deadline-Ms': 10_000,
        'Foxtailhatch-Model': 'm',
        'Foxtailhatch-Token-Usage': '100,60',
        'Authorization': f'Bearer {KEY}',
    }
    return await ask(router.address, 'GET', '/m/x', fields, limit_s=10)


async def all_serve(world):
    for _ in range(60):
        answers = [await stream(world, router) for router in world.routers]
        if all(one.status == 200 and one.is_whole for one in answers):
            return True
        await asyncio.sleep(0.3)
    return False


async def keep_streaming(world, router, stop):
    while not stop.is_set():
        await stream(world, router)


def events(router, since):
    for line in router.log().splitlines():
        event = json.loads(line)
        if event['t'] > since:
            yield event


def used_engine(nodes, zone):
    """Return an engine in the middle of a running chain of a zone."""
    stages = [
        address
        for node in nodes
        for path in node.paths.values()
        for address, first, _ in path
        if first
    ]
    return next(
        node
        for node in nodes
        if node.server.address in stages and node.zone == zone
    )


async def case(world, trouble):
    nodes = await add_endpoints(world)
    configure(world)
    for zone in ZONES:
        await world.add_router(zone)
    if not await world.wait_ready() or not await all_serve(world):
        return 2
    await asyncio.sleep(4.0)
    name = next(iter(world.store._members))
    holder = next(one for one in world.routers if one.name == name)
    others = sorted(
        (one for one in world.routers if one is not holder),
        key=lambda one: one.name,
    )
    asked = others[zlib.crc32(name.encode()) % len(others)]
    stop = asyncio.Event()
    running = [
        asyncio.ensure_future(keep_streaming(world, holder, stop))
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    began = now()
    if trouble:
        world.store.modes[name] = 'silent'
        asked.signal(signal.SIGSTOP)
    await asyncio.sleep(CRASH_AFTER_S)
    used_engine(nodes, holder.zone).crash()
    await asyncio.sleep(FREEZE_S - CRASH_AFTER_S)
    asked.signal(signal.SIGCONT)
    await asyncio.sleep(AWAY_S - FREEZE_S)
    world.store.modes[name] = 'up'
    stop.set()
    await asyncio.wait(running, timeout=3.0)
    for node in nodes:
        node.server.stop()
    return judge(world, holder, others, began)


def judge(world, holder, others, began):
    acquired = [
        (event['t'], other.name)
        for other in others
        for event in events(other, began)
        if event['event'] == 'lease_acquired'
    ]
    if not acquired:
        world.record.say('no other entry acquired the lease')
        return 0
    at, other = min(acquired)
    world.record.say(f'{other} acquired the lease at {at - began:.2f} s')
    stale = [
        event
        for event in events(holder, at)
        if event['event'] == 'order' and event['outcome'] == 'begun'
    ]
    for event in stale:
        world.record.say(
            f'{holder.name} gave {event["endpoint"]} the layers '
            f'{event["layers"]} with token {event["token"]} at '
            f'{event["t"] - began:.2f} s, and it began'
        )
    return 1 if stale else 0


main(case, Path(__file__).with_name('record.txt'))
