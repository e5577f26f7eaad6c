"""Random faults, one after the other and at once, with checks of guarantees."""

import asyncio
import signal
from collections import Counter
from random import Random

from tests.soak_router.client import send_request
from tests.soak_router.notices import Notices
from tests.soak_router.test_router import all_serve
from tests.soak_router.world import ZONES, World, wait_until

# An endpoint that has announced that it leaves may still get work for this
# long: the drain bound of two seconds, and the delivery of work already sent.
LEAVING_S = 2.5
CLIENTS = 4
PAUSE_S = 0.4
# Share of the outages after which the store returns from an older copy, and the
# bound on the records that each of its topics has lost.
RESTORE_SHARE = 0.5
MAX_LOST = 40


class Soak:
    """A run whose faults and requests follow from a seed."""

    def __init__(self, world, seed, notices=None):
        self.notices = notices
        self.random = Random(seed)
        # A source of its own keeps the faults of older seeds as they were.
        self._restores = Random(f'restore-{seed}')
        self.world = world
        self.responses = {}
        self.violations = []
        self.outcomes = Counter()
        self.faults = []
        self._request_count = 0
        self._stopping = False
        self._store_recovered_at = float('-inf')

    async def run(self, steps):
        clients = [
            asyncio.ensure_future(self._client()) for _ in range(CLIENTS)
        ]
        for _ in range(steps):
            await self._inject_fault()
            await self._between_faults()
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
        await self._heal()
        await wait_until(
            lambda: all_serve(self.world), 'the routers do not serve again'
        )
        await wait_until(
            self.world.is_configured, 'a configuration is not in force'
        )
        self._stopping = True
        await asyncio.gather(*clients)
        self._check()

    async def _between_faults(self):
        if self.notices is not None:
            await self.notices.step()

    async def _client(self):
        while not self._stopping:
            self._request_count += 1
            request_id = f'q{self._request_count}'
            kind = self.random.choice(('/m/x', '/once/x', '/read/x'))
            method = 'POST' if kind == '/once/x' else 'GET'
            router = self.random.choice(self.world.routers)
            response = await send_request(
                router.address, request_id, kind, method
            )
            self.responses[request_id] = (kind, response)
            self.outcomes[kind, response.status, response.is_whole] += 1
            await asyncio.sleep(self.random.uniform(0, 0.1))

    async def _inject_fault(self):
        faults = (
            self._crash,
            self._leave,
            self._stop_store,
            self._degrade_link,
            self._reset_links,
            self._kill,
            self._stop,
            self._pause,
            self._configure,
            self._cut_channels,
        )
        fault = self.random.choice(faults)
        self.faults.append(fault.__name__)
        await fault()

    async def _crash(self):
        engines = self.world.live_nodes('llm')
        node = self.random.choice(engines)
        node.crash()
        await self.world.add_engine(node.zone, node.accelerator_kind)

    async def _leave(self):
        node = self.random.choice(self.world.live_nodes('llm'))
        await self.world.add_engine(node.zone, node.accelerator_kind)
        node.start_draining()
        loop = asyncio.get_running_loop()
        loop.call_later(LEAVING_S, self._mark_left, node)

    def _mark_left(self, node):
        loop = asyncio.get_running_loop()
        since_recovery_s = loop.time() - self._store_recovered_at
        if self.world.log.is_down or since_recovery_s < LEAVING_S:
            # Its announcement cannot be read before the store is back.
            loop.call_later(LEAVING_S, self._mark_left, node)
            return
        node.left_with = set(node.paths)
        loop.call_later(1.0, self._check_left, node)

    def _check_left(self, node):
        unexpected = set(node.paths) - node.left_with
        if unexpected:
            self.violations.append(
                f'{node.name} is leaving and got {unexpected}'
            )
        node.crash()

    async def _stop_store(self):
        self.world.log.is_down = True
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        if self._restores.random() < RESTORE_SHARE:
            self.world.return_older_store(self._restores.randrange(MAX_LOST))
        self._end_store_outage()

    def _end_store_outage(self):
        self.world.log.is_down = False
        self._store_recovered_at = asyncio.get_running_loop().time()

    async def _degrade_link(self):
        proxy = self.random.choice(self.world.routers).proxy
        proxy.mode = self.random.choice(('slow', 'drop_replies', 'drop_all'))
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        proxy.mode = 'normal'

    async def _reset_links(self):
        self.random.choice(self.world.routers).proxy.reset()

    async def _kill(self):
        router = self.random.choice(self.world.routers)
        router.signal(signal.SIGKILL)
        await asyncio.to_thread(router.process.wait)
        router.start()

    async def _stop(self):
        router = self.random.choice(self.world.routers)
        router.signal(signal.SIGTERM)
        code = await asyncio.to_thread(router.process.wait, 15)
        if code != 0:
            self.violations.append(f'{router.name} ended with {code}')
        router.start()

    async def _pause(self):
        router = self.random.choice(self.world.routers)
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        router.signal(signal.SIGCONT)

    async def _configure(self):
        self.world.configure()

    async def _cut_channels(self):
        node = self.random.choice(self.world.live_nodes('llm'))
        for writer in tuple(node.server._writers):
            writer.transport.abort()

    async def _heal(self):
        self._end_store_outage()
        for router in self.world.routers:
            router.proxy.mode = 'normal'
        for zone in ZONES:
            if not [
                node
                for node in self.world.live_nodes('desk')
                if node.zone == zone
            ]:
                await self.world.add_desk(zone)

    def _check(self):
        self.violations.extend(self.world.pool.violations)
        for request_id, (kind, response) in self.responses.items():
            runs = self.world.pool.runs[request_id]
            if kind == '/once/x' and runs > 1:
                self.violations.append(f'{request_id} ran {runs} times')
            if response.status == 503 and runs and kind == '/once/x':
                self.violations.append(f'{request_id} was refused but ran')
            if kind == '/m/x' and response.is_whole and response.status == 200:
                self._check_stream(request_id, response.body)

    def _check_stream(self, request_id, body):
        expected = b''.join(
            b'id: %d\ndata: %s\n\n' % (number, request_id.encode())
            for number in range(1, 31)
        )
        if body != expected:
            self.violations.append(f'{request_id} got a wrong stream')


async def soak(folder, seed, steps, *, has_notices=False):
    """Run one seed, and return the run with the violations it found.

    If it ``has_notices``, endpoints also leave by their own word and ask for pauses.
    The other faults of a seed depend on that, as endpoints take others' places.
    """
    world = World(folder)
    try:
        await world.start(3)
        await wait_until(lambda: all_serve(world), 'the routers do not serve')
        notices = Notices(world, seed) if has_notices else None
        run = Soak(world, seed, notices)
        await run.run(steps)
        return run
    finally:
        world.stop()
