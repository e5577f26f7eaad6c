"""Endpoints that leave by their own word alone, or ask for pauses."""

import asyncio

import pytest

from standins.notice_watch import DRAIN_S
from tests.soak_router.client import send_request
from tests.soak_router.test_router import run_scenario

PERIOD_S = 0.04
# Some times the longest back-off after a refusal, which would hide a request.
PAUSE_S = 6.0


async def run_load(world, path, seconds, prefix):
    """Send requests to all routers in turn; return the responses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    pending = []
    while loop.time() < end:
        number = len(pending)
        router = world.routers[number % len(world.routers)]
        request = send_request(router.address, f'{prefix}{number}', path)
        pending.append(asyncio.ensure_future(request))
        await asyncio.sleep(PERIOD_S)
    return await asyncio.gather(*pending)


def share_served(responses):
    served = [one.is_whole and one.status == 200 for one in responses]
    return served.count(True) / len(served)


async def chain_in_use(world):
    """Return the engines of the chain that a stream of the first router takes."""
    pending = asyncio.ensure_future(
        send_request(world.routers[0].address, 'first', '/m/x')
    )
    await asyncio.sleep(0.2)
    nodes = world.pool.nodes
    head = next(node for node in nodes.values() if 'first' in node.paths)
    chain = [nodes[address] for address, _, _ in head.paths['first']]
    await pending
    return chain


# Guards against new work for endpoints that the list takes for ready.
def test_endpoint_that_leaves_by_its_word_gets_no_work_later(tmp_path):
    async def scenario(world):
        engine = (await chain_in_use(world))[0]
        desk = world.live_nodes('desk')[0]
        await world.add_engine(engine.zone, engine.accelerator_kind)
        await world.add_desk(desk.zone)
        engine.is_leaving = True
        desk.is_leaving = True
        streams, reads = await asyncio.gather(
            run_load(world, '/m/x', DRAIN_S + 3, 's'),
            run_load(world, '/read/x', DRAIN_S + 3, 'r'),
        )
        assert world.pool.violations == []
        assert world.pool.notices.told >= 2
        assert share_served(reads) == 1
        assert share_served(streams) >= 0.9

    run_scenario(tmp_path, scenario, routers=2)


# Guards against retries, hops and probes that reach an endpoint in its pause.
@pytest.mark.parametrize('role', ['head', 'last stage', 'desk'])
def test_endpoint_that_asks_for_a_pause_is_left_alone(tmp_path, role):
    async def scenario(world):
        node = world.live_nodes('desk')[0]
        if role != 'desk':
            chain = await chain_in_use(world)
            node = chain[0 if role == 'head' else -1]
        loop = asyncio.get_running_loop()
        node.paused_until = loop.time() + PAUSE_S
        path = '/read/x' if role == 'desk' else '/m/x'
        responses = await run_load(world, path, PAUSE_S + 2, 'q')
        assert world.pool.violations == []
        assert world.pool.notices.asked >= 1
        assert share_served(responses) >= 0.9

    run_scenario(tmp_path, scenario, routers=2)
