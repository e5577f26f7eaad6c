"""An entry that the store turned away takes the end of a replica for a lapse."""

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))
from world import CONTACT_S, DRAIN_S, ZONES, Replica, ask, manifest, run_case

HERE = Path(__file__).resolve().parent
ENTRIES = 3
RATE = 60.0
ROUNDS = 6
OUTAGE_S = 6.0
REMOVED_AFTER_S = 0.8
SERVES_ON_S = 7.0
ROUND_S = 15.0


def make_replicas(world):
    """Return the replicas; one of the first zone leaves in each round."""
    zones = [ZONES[0]] * (ROUNDS + 1) + [ZONES[1], ZONES[2]]
    return [
        Replica(world.store, world.record, f'i-{number}', 'desk', zone, work_s=0.09)
        for number, zone in enumerate(zones)
    ]


async def case(world, is_troubled):
    turned_away, door = world.entries[0], world.doors[1]
    numbers = itertools.count(1)
    sent, tasks, outcomes = {}, [], {}
    # When the store turned the entry away for the last time, and the removals.
    ended_at = float('-inf')
    removals = {}
    outages = []

    async def one():
        number = next(numbers)
        request_id = f'q{number}'
        entry = random.choice(world.entries)
        sent[request_id] = (world.record.now(), entry.name)
        method, path = ('POST', '/issue/reel') if number % 2 else ('GET', f'/look/{number}')
        seen = await ask(entry, request_id, method, path)
        key = f'{method} {seen.status or seen.why}'
        outcomes[key] = outcomes.get(key, 0) + 1
        world.record.write(f'{request_id} {method} at {entry.name}: {seen.status or seen.why}')

    async def traffic():
        while True:
            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(random.expovariate(RATE))

    load = asyncio.create_task(traffic())
    for leaving in world.replicas[:ROUNDS]:
        began = world.record.now()
        if is_troubled:
            door.is_shut = True
            world.record.write(f'the store turns {turned_away.name} away, silently')
        await asyncio.sleep(OUTAGE_S + random.uniform(0, 1.0))
        door.is_shut = False
        ended_at = world.record.now()
        outages.append((began, ended_at))
        world.record.write(f'the store serves {turned_away.name} again')
        await asyncio.sleep(REMOVED_AFTER_S)
        leaving.is_gone = True
        world.store.put('keyed.servers', leaving.name, None)
        removals[leaving.name] = world.record.now()
        world.record.write(f'{leaving.name} leaves: its entry is removed, and it serves on')
        await asyncio.sleep(SERVES_ON_S)
        leaving.stop()
        world.record.write(f'{leaving.name} exits')
        await asyncio.sleep(max(0, ROUND_S - (world.record.now() - began)))
    load.cancel()
    await asyncio.gather(*tasks)

    def is_in_touch(at, name):
        return name != turned_away.name or not is_troubled or all(
            at < began or at >= ended + CONTACT_S for began, ended in outages
        )

    late = []
    for replica in world.replicas[:ROUNDS]:
        for reached, request_id in replica.arrivals:
            sent_at, name = sent[request_id]
            after_s = sent_at - removals[replica.name]
            if after_s > DRAIN_S and is_in_touch(sent_at, name):
                late.append((after_s, request_id, name, replica.name))
    for after_s, request_id, name, replica in late:
        text = f'{request_id}, sent to {name} {after_s:.2f} s after the removal, reached {replica}'
        world.record.write(text)
        print(text)
    print(f'{len(sent)} requests: {outcomes}')
    if not late:
        return ''
    return (
        f'DRAIN: {len(late)} requests that clients sent later than {DRAIN_S} s after the'
        ' removal of a replica reached it, from a machine in touch'
    )


run_case(case, HERE, ENTRIES, make_replicas, manifest(1), has_doors=True)
