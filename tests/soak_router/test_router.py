"""The router as a process: requests, planned stops and failures."""

import asyncio
import signal

from foxtailhatch.router.app import EXIT_LISTEN
from tests.soak_router.client import send_request
from tests.soak_router.world import World, wait_until

# How much of the log of each router a failure shows.
LOG_CHARS = 6_000


def run_scenario(tmp_path, scenario, routers=1, world_type=World):
    """Run a scenario once all routers serve requests."""

    async def run():
        world = world_type(tmp_path)
        try:
            await world.start(routers)
            await wait_until_served(world)
            await scenario(world)
        finally:
            world.stop()

    asyncio.run(run())


async def all_serve(world):
    for router in world.routers:
        is_ended = router.process.poll() == EXIT_LISTEN
        assert not is_ended, f'{router.name} cannot listen'
    responses = [
        await send_request(
            router.address, f'probe-{world.log.calls}-{index}', '/m/x'
        )
        for index, router in enumerate(world.routers)
    ]
    world.last_probes = {
        router.name: response
        for router, response in zip(world.routers, responses, strict=True)
    }
    return all(
        response.is_whole and response.status == 200 for response in responses
    )


async def wait_until_served(world, message='the routers do not serve'):
    """Wait until all serve; a failure shows what each answered and logged."""
    try:
        await wait_until(lambda: all_serve(world), message)
    except AssertionError as exc:
        raise AssertionError('\n'.join([str(exc), *serving(world)])) from exc


def serving(world):
    """Return for each router its last answer, exit code and log lines."""
    return [
        f'--- {router.name}: exit code {router.process.poll()},'
        f' {world.last_probes.get(router.name)}\n'
        f'{router.log_text()[-LOG_CHARS:]}'
        for router in world.routers
    ]


def test_stream_is_delivered_completely(tmp_path):
    async def scenario(world):
        response = await send_request(world.routers[0].address, 'q1', '/m/x')
        numbers = [
            int(line[4:])
            for line in response.body.split(b'\n')
            if line.startswith(b'id: ')
        ]
        assert numbers == list(range(1, 31))
        assert response.body.count(b'data: q1') == 30
        assert world.pool.violations == []

    run_scenario(tmp_path, scenario)


def test_non_idempotent_call_runs_once(tmp_path):
    async def scenario(world):
        response = await send_request(
            world.routers[0].address, 'q1', '/once/x', 'POST'
        )
        assert (response.status, response.body) == (200, b'done')
        assert world.pool.runs['q1'] == 1

    run_scenario(tmp_path, scenario)


def test_unknown_routes_and_keys_are_rejected(tmp_path):
    async def scenario(world):
        address = world.routers[0].address
        assert (await send_request(address, 'q1', '/none/')).status == 404
        assert (
            await send_request(address, 'q2', '/m/x', key='x')
        ).status == 401
        assert world.pool.runs['q1'] == world.pool.runs['q2'] == 0

    run_scenario(tmp_path, scenario)


def test_stream_survives_the_death_of_an_engine(tmp_path):
    async def scenario(world):
        pending = asyncio.ensure_future(
            send_request(world.routers[0].address, 'q1', '/m/x'),
        )
        await asyncio.sleep(0.2)
        paths = [
            node.paths['q1']
            for node in world.pool.nodes.values()
            if 'q1' in node.paths
        ]
        world.pool.nodes[paths[0][-1][0]].crash()
        response = await pending
        assert response.is_whole
        assert response.body.count(b'data: q1') == 30

    run_scenario(tmp_path, scenario)


def test_planned_stop_interrupts_no_stream(tmp_path):
    async def scenario(world):
        router = world.routers[0]
        pending = asyncio.ensure_future(
            send_request(router.address, 'q1', '/m/x')
        )
        await asyncio.sleep(0.2)
        router.signal(signal.SIGTERM)
        response = await pending
        assert response.is_whole
        code = await asyncio.to_thread(router.process.wait, 15)
        assert code == 0

    run_scenario(tmp_path, scenario)


def test_entries_feed_each_other(tmp_path):
    async def scenario(world):
        calls_before = world.log.calls
        await asyncio.sleep(3)
        calls = world.log.calls - calls_before
        logs = [path.read_text() for path in sorted(tmp_path.glob('*.log'))]
        assert sum('"event":"source_selected"' in text for text in logs) >= 1
        assert calls < 60

    run_scenario(tmp_path, scenario, routers=3)


def test_keys_are_refused_in_a_long_store_outage(tmp_path):
    async def scenario(world):
        world.log.is_down = True

        async def refused():
            response = await send_request(
                world.routers[0].address, 'late', '/read/x'
            )
            return response.status == 503

        await wait_until(refused, 'keys are still accepted')
        world.log.is_down = False
        await wait_until_served(world, 'the routers do not serve again')

    run_scenario(tmp_path, scenario)
