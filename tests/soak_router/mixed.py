"""Routers of an old and of this build side by side, replaced under faults.

The old build is a git work tree of a commit of this repository, in a temporary folder
outside it.  All routers start from it; each is stopped or killed while it answers,
and started from this build.  Some go back to the old build for a while.
"""

import asyncio
import shutil
import signal
import subprocess
import tempfile
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from random import Random

from standins.mini_http import ACCEPTED
from standins.platform_engine import StubEndpoint
from tests.soak_router.client import send_request
from tests.soak_router.notices import Notices
from tests.soak_router.soak import Soak
from tests.soak_router.test_router import all_serve
from tests.soak_router.world import THIS_BUILD, World, wait_until

ROLLED_BACK_SHARE = 0.4
KILLED_SHARE = 0.3
# Time in which a stream begins that the end of its router meets.
IN_USE_S = 0.15
STOP_LIMIT_S = 15


@contextmanager
def build_of(commit):
    """Yield the folder of a work tree of a commit, and remove it afterwards."""
    folder = tempfile.mkdtemp(prefix='old-build-')
    tree = Path(folder) / 'tree'
    try:
        _git('worktree', 'add', '--quiet', '--detach', tree, commit)
        yield tree
    finally:
        if tree.exists():
            _git('worktree', 'remove', '--force', tree)
        shutil.rmtree(folder)


def _git(*arguments):
    ran = subprocess.run(
        ['git', '-C', THIS_BUILD, *arguments], capture_output=True, text=True
    )
    # A clone without this commit has no old build to play against.
    assert not ran.returncode, f'no work tree of an old build: {ran.stderr}'


class OrderedEndpoint(StubEndpoint):
    """An endpoint that remembers the orders which it accepted."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.accepted = []

    def _order(self, order, entry):
        response = super()._order(order, entry)
        if response.status == ACCEPTED and order['op'] != 'repath':
            self.accepted.append((order['from'], order['to'], entry))
        return response


class MixedWorld(World):
    """A world whose routers start from an old build."""

    endpoint_type = OrderedEndpoint

    def __init__(self, folder, old):
        super().__init__(folder)
        self.build = old
        names = old / 'foxtailhatch' / 'platform' / 'names.py'
        self._old_heeds_notices = 'server-leaving' in names.read_text().lower()

    def start_router(self, router):
        heeds = router.build == THIS_BUILD or self._old_heeds_notices
        self.pool.notices.set_heeding(router.host, is_heeding=heeds)
        super().start_router(router)


@dataclass(frozen=True, slots=True)
class Replacement:
    """A router that is to end, and the build that it starts from next."""

    router: object
    build: Path
    number: signal.Signals


class MixedSoak(Soak):
    """A run in which routers are replaced one after the other."""

    def __init__(self, world, seed, notices, old):
        super().__init__(world, seed, notices)
        self._upgrades = Random(f'upgrade-{seed}')
        self._old = old
        self._planned = self._plan()
        self.replaced = []

    async def _between_faults(self):
        await super()._between_faults()
        if self._planned:
            await self._replace(self._planned.pop(0))

    async def _heal(self):
        while self._planned:
            await self._replace(self._planned.pop(0))
        await super()._heal()

    def _plan(self):
        draw = self._upgrades
        routers = list(self.world.routers)
        draw.shuffle(routers)
        planned = []
        for router in routers:
            builds = [THIS_BUILD]
            if draw.random() < ROLLED_BACK_SHARE:
                builds += [self._old, THIS_BUILD]
            for build in builds:
                is_killed = draw.random() < KILLED_SHARE
                number = signal.SIGKILL if is_killed else signal.SIGTERM
                planned.append(Replacement(router, build, number))
        return planned

    async def _replace(self, planned):
        """End a router while it streams an answer, and start the other build."""
        router = planned.router
        # Without its handlers a process would end by the signal: it is replaced when
        # it answers, not while the interpreter starts.
        await wait_until(router.has_started, f'{router.name} does not start')
        request_id = f'u{len(self.replaced)}'
        pending = asyncio.ensure_future(
            send_request(router.address, request_id, '/m/x')
        )
        await asyncio.sleep(IN_USE_S)
        router.signal(planned.number)
        code = await asyncio.to_thread(router.process.wait, STOP_LIMIT_S)
        if planned.number == signal.SIGTERM and code:
            self.violations.append(f'{router.name} ended with {code}')
        router.build = planned.build
        self.world.start_router(router)
        await wait_until(router.has_started, f'{router.name} does not start')
        response = await pending
        self.responses[request_id] = ('/m/x', response)
        self.outcomes['/m/x', response.status, response.is_whole] += 1
        build = 'new' if planned.build == THIS_BUILD else 'old'
        self.replaced.append(f'{router.name} {planned.number.name} {build}')

    def _check(self):
        super()._check()
        for router in self.world.routers:
            if router.build != THIS_BUILD:
                self.violations.append(f'{router.name} runs the old build')
            for before, after in pairwise(router.versions_in_force()):
                if after < before:
                    self.violations.append(
                        f'{router.name} went from {before} back to {after}'
                    )
        for node in self.world.pool.nodes.values():
            self._check_orders(node)

    def _check_orders(self, node):
        for before, after in pairwise(node.accepted):
            if before[:2] == after[:2] and before[2] != after[2]:
                self.violations.append(
                    f'{node.name} got an order twice: {before}, {after}'
                )


async def mixed_soak(folder, old, seed, steps, *, has_notices=True):
    """Run one seed from routers of ``old``, the folder of a build, to this build."""
    world = MixedWorld(folder, old)
    try:
        await world.start(3)
        await wait_until(lambda: all_serve(world), 'the routers do not serve')
        notices = Notices(world, seed) if has_notices else None
        run = MixedSoak(world, seed, notices, old)
        await run.run(steps)
        return run
    finally:
        world.stop()
