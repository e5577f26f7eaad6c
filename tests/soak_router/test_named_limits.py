"""Engines in need that name how many requests a second they take."""

import asyncio

from standins.platform_engine import LAYER_COUNT
from tests.soak_router.client import send_request
from tests.soak_router.test_router import run_scenario

LIMIT_PER_S = 2.0
PERIOD_S = 0.05
# Entries in contact have to keep a limit this long after it is first named.
CONTACT_S = 3.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5


async def run_load(world, seconds):
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    pending = []
    while loop.time() < end:
        number = len(pending)
        router = world.routers[number % len(world.routers)]
        request = send_request(
            router.address, f'q{number}', '/m/x', parts=('s', f'{number:x}')
        )
        pending.append(asyncio.ensure_future(request))
        await asyncio.sleep(PERIOD_S)
    return await asyncio.gather(*pending)


def busiest_window(times):
    return max(
        sum(1 for other in times if time <= other < time + WINDOW_S)
        for time in times
    )


# Guards against entries that each keep to a limit, or to none, and not together.
def test_engine_gets_no_more_than_the_limit_that_it_names(tmp_path):
    async def scenario(world):
        limited = next(
            node
            for node in world.live_nodes('llm')
            if node.zone == 'z1' and node.layers and node.layers[0] == 0
        )
        assert limited.layers[1] < LAYER_COUNT
        world.pool.limits_per_s[limited.name] = LIMIT_PER_S
        responses = await run_load(world, CONTACT_S + 2 * WINDOW_S)
        times = world.pool.arrivals[limited.name]
        late = [time for time in times if time > times[0] + CONTACT_S]
        assert busiest_window(late) <= MAX_IN_WINDOW
        assert len(late) >= LIMIT_PER_S * WINDOW_S
        served = [response.is_whole for response in responses]
        assert served.count(True) >= 0.95 * len(served)

    run_scenario(tmp_path, scenario, routers=3)
