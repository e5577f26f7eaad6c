"""Requests that share a part of their prompts under which engines crash."""

import asyncio
import signal

from tests.soak_router.client import send_request
from tests.soak_router.test_router import all_serve, run_scenario
from tests.soak_router.world import wait_until

SHARED, CRASHING = 'aa', 'bad'
PERIOD_S = 0.1
RESTART_S = 2.0
# Bound on the time in which entries in contact learn what others know.
CONTACT_S = 3.0
CRASHES = 5
MAX_LATE_REQUESTS = 3


class Load:
    """Sound requests at all entries, and others with the crashing part."""

    def __init__(self, world):
        self.world = world
        self.begun_at = []
        self.sent = 0
        self.tasks = set()
        world.pool.on_crash = self.replace

    def replace(self, node):
        asyncio.get_running_loop().call_later(
            RESTART_S,
            lambda: self.start(
                self.world.add_engine(node.zone, node.accelerator_kind)
            ),
        )

    def start(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, seconds, is_crashing):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            self.sent += 1
            self.start(self.send(self.sent, (SHARED, f'{self.sent:x}')))
            if is_crashing:
                parts = (SHARED, CRASHING, f'f{self.sent:x}')
                self.start(self.send(self.sent, parts))
            await asyncio.sleep(PERIOD_S)

    async def send(self, number, parts):
        router = self.world.routers[number % len(self.world.routers)]
        response = await send_request(
            router.address, f'q{number}-{parts[-1]}', '/m/x', parts=parts
        )
        if response.status == 200 and response.body:
            self.begun_at.append(number)


# Guards against requests with a part under which engines crash being sent on.
def test_part_under_which_five_engines_crashed_reaches_no_more(tmp_path):
    async def scenario(world):
        world.pool.crashing_parts = {CRASHING}
        load = Load(world)
        await load.run(3, is_crashing=False)
        await load.run(10, is_crashing=True)
        first_late = load.sent
        await load.run(3, is_crashing=True)
        await asyncio.gather(*load.tasks)
        crashed_at = world.pool.crashed_at
        late_from = crashed_at[:CRASHES][-1] + CONTACT_S
        late = [at for at in world.pool.crashing_runs if at > late_from]
        assert len(late) <= MAX_LATE_REQUESTS
        begun = [number for number in load.begun_at if number > first_late]
        assert len(begun) >= (load.sent - first_late) / 2

    run_scenario(tmp_path, scenario, routers=3)


# Guards against an entry that starts without what the others know.
def test_entry_that_restarts_keeps_the_quarantine(tmp_path):
    async def scenario(world):
        world.pool.crashing_parts = {CRASHING}
        load = Load(world)
        await load.run(2, is_crashing=False)
        await load.run(5, is_crashing=True)
        await asyncio.gather(*load.tasks)
        crashes = len(world.pool.crashed_at)
        router = world.routers[0]
        router.signal(signal.SIGKILL)
        await asyncio.to_thread(router.process.wait)
        router.start()
        await wait_until(lambda: all_serve(world), 'it does not serve again')
        await load.run(CONTACT_S, is_crashing=True)
        await asyncio.gather(*load.tasks)
        assert crashes >= 1
        # One trial of all entries may have begun meanwhile.
        assert len(world.pool.crashed_at) <= crashes + 1

    run_scenario(tmp_path, scenario, routers=3)


# Guards against crashes that are too rare for any entry to see two of them.
def test_rare_requests_with_a_crashing_first_part_are_recognized(tmp_path):
    async def scenario(world):
        world.pool.crashing_parts = {CRASHING}
        load = Load(world)
        await load.run(2, is_crashing=False)
        for number in range(14):
            parts = (CRASHING, 'tail', f'own{number}')
            load.start(load.send(900 + number, parts))
            await load.run(0.7, is_crashing=False)
        await asyncio.gather(*load.tasks)
        late = world.pool.crashing_runs[CRASHES:]
        assert len(late) <= MAX_LATE_REQUESTS

    run_scenario(tmp_path, scenario, routers=3)
