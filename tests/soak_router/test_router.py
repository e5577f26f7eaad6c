"""The router as a process: the whole path, and planned and unplanned ends."""

import asyncio
import signal

from tests.soak_router.client import ask
from tests.soak_router.world import World, until


def played(tmp_path, scenario, routers=1):
    """Run a scenario against routers that serve."""

    async def run():
        world = World(tmp_path)
        try:
            await world.start(routers)
            await until(lambda: serves(world), 'the routers never served')
            await scenario(world)
        finally:
            world.stop()

    asyncio.run(run())


async def serves(world):
    answers = [
        await ask(router.address, f'probe-{world.log.calls}-{place}', '/m/x')
        for place, router in enumerate(world.routers)
    ]
    return all(seen.is_whole and seen.status == 200 for seen in answers)


def test_stream_reaches_its_caller_whole(tmp_path):
    async def scenario(world):
        seen = await ask(world.routers[0].address, 'q1', '/m/x')
        numbers = [
            int(line[4:])
            for line in seen.body.split(b'\n')
            if line.startswith(b'id: ')
        ]
        assert numbers == list(range(1, 31))
        assert seen.body.count(b'data: q1') == 30
        assert world.pool.broken == []

    played(tmp_path, scenario)


def test_plain_calls_run_once(tmp_path):
    async def scenario(world):
        seen = await ask(world.routers[0].address, 'q1', '/once/x', 'POST')
        assert (seen.status, seen.body) == (200, b'done')
        assert world.pool.runs['q1'] == 1

    played(tmp_path, scenario)


def test_unknown_routes_and_keys_are_denied(tmp_path):
    async def scenario(world):
        address = world.routers[0].address
        assert (await ask(address, 'q1', '/none/')).status == 404
        assert (await ask(address, 'q2', '/m/x', key='x')).status == 401
        assert world.pool.runs['q1'] == world.pool.runs['q2'] == 0

    played(tmp_path, scenario)


def test_dead_engine_in_mid_stream_is_led_around(tmp_path):
    async def scenario(world):
        asking = asyncio.ensure_future(
            ask(world.routers[0].address, 'q1', '/m/x'),
        )
        await asyncio.sleep(0.2)
        paths = [
            node.paths['q1']
            for node in world.pool.nodes.values()
            if 'q1' in node.paths
        ]
        world.pool.nodes[paths[0][-1][0]].crash()
        seen = await asking
        assert seen.is_whole
        assert seen.body.count(b'data: q1') == 30

    played(tmp_path, scenario)


def test_planned_stop_cuts_no_stream(tmp_path):
    async def scenario(world):
        router = world.routers[0]
        asking = asyncio.ensure_future(ask(router.address, 'q1', '/m/x'))
        await asyncio.sleep(0.2)
        router.signal(signal.SIGTERM)
        seen = await asking
        assert seen.is_whole
        code = await asyncio.to_thread(router.process.wait, 15)
        assert code == 0

    played(tmp_path, scenario)


def test_entries_feed_each_other(tmp_path):
    async def scenario(world):
        before = world.log.calls
        await asyncio.sleep(3)
        first = world.log.calls - before
        logs = [path.read_text() for path in sorted(tmp_path.glob('*.log'))]
        assert sum('"event":"source_selected"' in text for text in logs) >= 1
        assert first < 60

    played(tmp_path, scenario, routers=3)


def test_keys_are_refused_once_the_store_was_away_too_long(tmp_path):
    async def scenario(world):
        world.log.is_down = True

        async def refused():
            seen = await ask(world.routers[0].address, 'late', '/read/x')
            return seen.status == 503

        await until(refused, 'keys are still taken')
        world.log.is_down = False
        await until(lambda: serves(world), 'never served again')

    played(tmp_path, scenario)
