"""A replica whose entry is removed soon after a short outage of the store."""

import asyncio
import time
from pathlib import Path

from common.world import main

ZONES = ('z1', 'z2', 'z3')
DRAIN_S = 2.0
CONTACT_S = 3.0
ROUNDS = 9
OUTAGE_S = 0.6
# A replica serves for drain_ms after the store has accepted its leaving, and a
# little longer.
SERVES_ON_S = 2.3
PAUSE_S = 0.04


async def client(world, router, stop, answers):
    pending = set()
    number = 0
    while not stop.is_set():
        number += 1
        task = asyncio.ensure_future(attempt(world, router, number, answers))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(PAUSE_S)
    if pending:
        await asyncio.wait(pending)


async def attempt(world, router, number, answers):
    if number % 2:
        request_id, answer = await world.request(router, '/read/x')
    else:
        request_id, answer = await world.request(router, '/once/x', 'POST')
    answers[request_id] = answer


async def case(world, trouble):
    for zone in ZONES:
        await world.add_plain(zone, work_s=0.09)
    world.configure()
    for zone in ZONES:
        await world.add_router(zone)
    if not await world.wait_ready():
        return 2
    await asyncio.sleep(3.0)
    stop = asyncio.Event()
    answers = {}
    clients = [
        asyncio.ensure_future(client(world, router, stop, answers))
        for router in world.routers
    ]
    late = []
    for number in range(ROUNDS):
        await asyncio.sleep(world.random.uniform(0.5, 1.1))
        if trouble:
            world.record.write('the store is silent')
            world.store.set_all('silent')
        await asyncio.sleep(OUTAGE_S)
        world.store.set_all('up')
        world.record.write('the store serves')
        # From here on the core is stable, and all machines are in touch.
        await asyncio.sleep(CONTACT_S + 0.05)
        leaver = [one for one in world.plain if one.is_listed][0]
        await world.add_plain(leaver.zone, work_s=0.09)
        leaver.remove()
        removed_at = time.monotonic()
        world.record.write(f'entry of {leaver.name} removed')
        await asyncio.sleep(SERVES_ON_S)
        leaver.stop()
        world.record.write(f'{leaver.name} exits')
        found = [
            request_id
            for at, request_id in leaver.arrivals
            if at - removed_at > DRAIN_S
        ]
        last = max((at for at, _ in leaver.arrivals), default=removed_at)
        world.record.say(
            f'round {number}: {len(found)} requests reached {leaver.name} later '
            f'than {DRAIN_S} s after its removal was acknowledged; the last '
            f'{last - removed_at:.3f} s after it'
        )
        late += found
    stop.set()
    await asyncio.gather(*clients)
    lost = [one for one in late if answers[one].status != 200]
    world.record.say(
        f'{len(late)} requests reached replicas too late; {len(lost)} of them '
        f'were not answered with success'
    )
    return 1 if late else 0


main(case, Path(__file__).with_name('record.txt'))
