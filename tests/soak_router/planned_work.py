"""Planned work alone, beside endpoints that fall silent for a while.

Operators change the configuration, drain and replace endpoints, stop and start
routers, and reload settings; nothing fails.  Sound endpoints stand still for
about a second in the meantime.
"""

import asyncio
import signal
import subprocess
from collections import Counter
from random import Random

from tests.soak_router.planned_clients import HABITS, PlannedClients
from tests.soak_router.planned_verdict import (
    GRACE_S,
    exempt_of,
    outcomes_of,
    refused_in_calm,
    violations_of,
)
from tests.soak_router.planned_world import PlannedStop, PlannedWorld
from tests.soak_router.soak import LEAVING_S
from tests.soak_router.test_router import wait_until_served
from tests.soak_router.world import wait_until

CLIENTS = 15
SILENCE_S = (0.8, 1.5)
STORM_PERIOD_S = 0.4
MAX_DRAINS = 3
EXIT_SLACK_S = 1.0
PACE_PERIOD_S = 0.05
# Requests around a stop, on connections that are older than it.
AROUND_STOP = 6
AROUND_STOP_S = (-0.3, 3.5)


# Names of the methods that do it; what is listed twice is done more often.
WORK = (
    'change',
    'storm',
    'storm',
    'drain',
    'drain',
    'stop_one',
    'stop_one',
    'stop_in_turn',
    'reload',
)


class PlannedWork:
    """A run whose planned work, silences and requests follow from a seed."""

    def __init__(self, world, seed, habits=HABITS):
        self.world = world
        self.clients = PlannedClients(world, Random(f'clients-{seed}'), habits)
        self.violations = []
        self.work = []
        self.refused_in_calm = 0
        self.exempt = []
        self.worst_lag_s = 0.0
        self._random = Random(seed)
        self._silences = Random(f'silences-{seed}')
        self._stop_lock = asyncio.Lock()
        self._tasks = []
        self._is_over = False

    @property
    def outcomes(self):
        return outcomes_of(self.clients.exchanges)

    async def run(self, work, clients):
        """Do the planned work in order, beside that many clients."""
        running = asyncio.ensure_future(self.clients.run(clients))
        silences = asyncio.ensure_future(self._fall_silent())
        pace = asyncio.ensure_future(self._watch_pace())
        for name in work:
            self.work.append(name)
            self._spawn(getattr(self, f'_{name}')())
            await asyncio.sleep(self._random.uniform(0.3, 2.5))
        # Stops in progress may add requests of their own.
        while pending := [task for task in self._tasks if not task.done()]:
            await asyncio.gather(*pending)
        self._is_over = True
        await silences
        await wait_until_served(self.world, 'the routers do not serve again')
        await wait_until(
            self.world.is_configured, 'a configuration is not in force'
        )
        self.clients.is_stopping = True
        await running
        pace.cancel()
        self._check()

    def _spawn(self, work):
        self._tasks.append(asyncio.ensure_future(work))

    async def _watch_pace(self):
        """Record how late the loop of the stand-ins, store and clients is."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + PACE_PERIOD_S
            await asyncio.sleep(PACE_PERIOD_S)
            self.worst_lag_s = max(self.worst_lag_s, loop.time() - due_at)

    async def _fall_silent(self):
        """Let endpoints stand still, in turn or several at once."""
        while not self._is_over:
            draw = self._silences
            if draw.random() < 0.5:
                for _ in range(draw.randint(2, 6)):
                    await self._silence(1)
            else:
                await self._silence(draw.uniform(0, 0.5))
            await asyncio.sleep(draw.uniform(0.1, 2.5))

    async def _silence(self, amount):
        """Let that many endpoints, or a share of each service, stand still."""
        draw = self._silences
        nodes = self.world.all_live()
        if amount == 1:
            chosen = [draw.choice(nodes)]
        else:
            counts = Counter(node.service for node in nodes)
            chosen = [
                node
                for service, count in sorted(counts.items())
                for node in draw.sample(
                    self.world.live_nodes(service), int(count * amount)
                )
            ]
        await asyncio.gather(
            *(node.stand_still(draw.uniform(*SILENCE_S)) for node in chosen)
        )

    async def _change(self):
        self.world.configure()

    async def _storm(self):
        for _ in range(self._random.randint(4, 10)):
            self.world.configure()
            await asyncio.sleep(STORM_PERIOD_S)

    async def _drain(self):
        nodes = self.world.all_live()
        leaving = self._random.sample(
            nodes, self._random.randint(1, MAX_DRAINS)
        )
        for node in leaving:
            await self.world.add_like(node)
            self._spawn(node.leave(LEAVING_S))

    async def _reload(self):
        for router in self.world.routers:
            self.world.reload(router)
            await asyncio.sleep(self._random.uniform(0, 0.3))

    async def _stop_one(self):
        await self._stop(self._random.choice(self.world.routers))

    async def _stop_in_turn(self):
        for router in self.world.routers:
            await self._stop(router)

    async def _stop(self, router):
        """Stop a router as planned, and start it again; one at a time."""
        async with self._stop_lock:
            for _ in range(AROUND_STOP):
                offset_s = self._random.uniform(*AROUND_STOP_S)
                self._spawn(self.clients.use_around_stop(router, offset_s))
            await asyncio.sleep(self.world.stop_lead_s)
            loop = asyncio.get_running_loop()
            stop = PlannedStop(router.name, loop.time())
            self.world.stops.append(stop)
            router.signal(signal.SIGTERM)
            code = await asyncio.to_thread(_exit_code, router.process)
            stop.ended_at = loop.time()
            if code != 0:
                self.violations.append(f'{router.name} ended with {code}')
            router.start()
            await wait_until_served(self.world, 'a router does not serve again')
            stop.served_at = loop.time()

    def _check(self):
        exchanges = self.clients.exchanges
        self.violations.extend(self.world.pool.violations)
        self.violations.extend(violations_of(exchanges, self.world))
        self.exempt = exempt_of(exchanges, self.world)
        self.refused_in_calm = refused_in_calm(exchanges, self.world)


def _exit_code(process):
    try:
        return process.wait(GRACE_S + EXIT_SLACK_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def work_of(seed, steps):
    """Return the planned work of a seed."""
    return Random(f'work-{seed}').choices(WORK, k=steps)


async def planned_soak(folder, seed, work, clients=CLIENTS, habits=HABITS):
    """Run one seed, and return the run with the violations it found."""
    world = PlannedWorld(folder, seed)
    try:
        await world.start(3)
        await wait_until_served(world)
        run = PlannedWork(world, seed, habits)
        await run.run(work, clients)
        return run
    finally:
        world.stop()
