"""One request under which endpoints crash, and that comes again and again."""

import asyncio
import signal

from tests.soak_router.client import send_request
from tests.soak_router.test_crashing_prompts import CONTACT_S, Load
from tests.soak_router.test_router import all_serve, run_scenario
from tests.soak_router.world import wait_until

CRASHES = 3
MAX_LATE_REQUESTS = 3
CRASHING_PATH = '/m/deadly'
PARTS = ('aa', 'b1', 'd1')
PAUSE_S = 0.8


class RepeatedRequest:
    """The crashing request, at one entry after the other, with new ids."""

    def __init__(self, world, path=CRASHING_PATH):
        self.world = world
        self._path = path
        self._count = 0

    async def send(self, times):
        for _ in range(times):
            self._count += 1
            routers = self.world.routers
            await send_request(
                routers[self._count % len(routers)].address,
                f'again-{self._count}',
                self._path,
                parts=PARTS if self._path == CRASHING_PATH else (),
            )
            await asyncio.sleep(PAUSE_S)


def late_runs(world):
    pool = world.pool
    late_from = pool.crashed_at[:CRASHES][-1] + CONTACT_S
    return [at for at in pool.crashing_runs if at > late_from]


# Guards against one request that crashes an engine after the other.
def test_request_under_which_three_engines_crashed_reaches_no_more(tmp_path):
    async def scenario(world):
        world.pool.crashing_paths = {CRASHING_PATH}
        load = Load(world)
        await load.run(2, is_crashing=False)
        repeated = RepeatedRequest(world)
        load.start(load.run(14, is_crashing=False))
        await repeated.send(16)
        await asyncio.gather(*load.tasks)
        assert len(late_runs(world)) <= MAX_LATE_REQUESTS
        assert len(world.pool.crashed_at) <= 2 * CRASHES
        served = len(load.begun_at) / load.sent
        assert served >= 0.9

    run_scenario(tmp_path, scenario, routers=3)


# Guards against the same at plain services, which nobody probed.
def test_request_under_which_plain_services_crash_reaches_no_more(tmp_path):
    async def scenario(world):
        path = '/read/deadly'
        world.pool.crashing_paths = {path}
        load = Load(world)
        world.pool.on_crash = lambda node: load.start(world.add_desk(node.zone))
        await RepeatedRequest(world, path).send(16)
        await asyncio.gather(*load.tasks)
        assert len(late_runs(world)) <= MAX_LATE_REQUESTS

    run_scenario(tmp_path, scenario, routers=3)


# Guards against an entry that starts without what the others know.
def test_entry_that_restarts_does_not_send_the_crashing_request(tmp_path):
    async def scenario(world):
        world.pool.crashing_paths = {CRASHING_PATH}
        load = Load(world)
        await load.run(2, is_crashing=False)
        repeated = RepeatedRequest(world)
        await repeated.send(8)
        crashes = len(world.pool.crashed_at)
        router = world.routers[0]
        router.signal(signal.SIGKILL)
        await asyncio.to_thread(router.process.wait)
        router.start()
        await wait_until(lambda: all_serve(world), 'it does not serve again')
        await repeated.send(6)
        await asyncio.gather(*load.tasks)
        assert len(world.pool.crashed_at) == crashes

    run_scenario(tmp_path, scenario, routers=3)
