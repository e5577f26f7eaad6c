"""A revoked key while an entry reads manifests that it has missed."""

import asyncio
import time
from pathlib import Path

from common.bulk import grow, manifest_bytes
from common.world import main

ZONES = ('z1', 'z2', 'z3')
REVOKE_S = 5.0
# The store turns this machine away for this long.
AWAY_S = 9.0
# A storm of manifests: a change each 0.08 s, for 2 s.
GAP_S = 0.08
STORM_CHANGES = 25
ROUNDS = 4
OLD_KEY = 'key-taken-away'


async def client(world, router, stop, sent):
    pending = set()
    while not stop.is_set():
        task = asyncio.ensure_future(attempt(world, router, sent))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(0.02)
    if pending:
        await asyncio.wait(pending)


async def attempt(world, router, sent):
    began = time.monotonic()
    key = world.old_key
    request_id, _ = await world.request(router, '/once/x', 'POST', key=key)
    sent[request_id] = (began, key)


def tenants(*keys):
    return [{'name': 'crew', 'api_keys': ['key-of-crew', *keys], 'priority': 1}]


async def storm(world):
    for _ in range(STORM_CHANGES):
        world.configure()
        await asyncio.sleep(GAP_S)


async def case(world, trouble):
    for zone in ZONES:
        await world.add_plain(zone)
    for _ in range(3):
        grow(world)
    world.old_key = f'{OLD_KEY}-0'
    world.tenants = tenants(world.old_key)
    world.configure()
    for zone in ZONES:
        await world.add_router(zone)
    if not await world.wait_ready():
        return 2
    world.record.say(f'a manifest has {manifest_bytes(world)} bytes')
    await asyncio.sleep(3.0)
    router = world.routers[0]
    if trouble:
        for other in world.routers[1:]:
            world.record.write(f'{other.name} is lost for good')
            other.process.kill()
    await asyncio.sleep(5.0)
    stop = asyncio.Event()
    sent = {}
    revoked = {}
    running = asyncio.ensure_future(client(world, router, stop, sent))
    for number in range(ROUNDS):
        world.old_key = f'{OLD_KEY}-{number}'
        world.tenants = tenants(world.old_key)
        world.configure()
        await asyncio.sleep(2.0)
        began = time.monotonic()
        if trouble:
            world.record.write(f'the store turns {router.name} away')
            world.store.modes[router.name] = 'silent'
        await asyncio.sleep(0.5)
        await storm(world)
        world.tenants = tenants()
        world.configure()
        revoked[world.old_key] = time.monotonic()
        world.record.write(f'key {world.old_key} taken away')
        await asyncio.sleep(max(0, began + AWAY_S - time.monotonic()))
        world.store.modes[router.name] = 'up'
        world.record.write(f'the store serves {router.name} again')
        await asyncio.sleep(7.0)
    stop.set()
    await running
    ran = {one for replica in world.plain for _, one in replica.arrivals}
    late = 0
    for key, at in revoked.items():
        found = [
            began - at
            for request_id, (began, used) in sent.items()
            if used == key and request_id in ran and began - at > REVOKE_S
        ]
        late += len(found)
        world.record.say(
            f'{key}: {len(found)} requests ran that were sent later than '
            f'{REVOKE_S} s after it was taken away; the last '
            f'{max(found, default=0):.2f} s'
        )
    return 1 if late else 0


main(case, Path(__file__).with_name('record.txt'))
