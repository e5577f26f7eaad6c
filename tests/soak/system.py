"""A system that serves, fails and is repaired for as long as it is told to.

Seeded schedules fit the harness better than a state machine of rules: what
matters happens between the awaits of many tasks at exact virtual times, and
one list of steps with their times replays and shrinks just as well.
"""

import asyncio
from random import Random

from foxtailhatch.callers.operations import MarkRequest
from foxtailhatch.config import CONFIGURATION_STREAM, MarkRecord, decode_record
from foxtailhatch.core import Mark
from tests.faults.callers import Answering, Booking, Publishing, told_by
from tests.faults.checks import failures
from tests.faults.entry import TestEntry
from tests.faults.faults import CLAIMANT_PAUSE_S, FAULTS
from tests.faults.scenario import Scenario, document
from tests.faults.world import ZONES

REPAIR_S = 6.0
BACK_S = 15.0
FOLLOW_S = 0.05
ENTRIES = 3
HEAL_BOUND_S = 2 * CLAIMANT_PAUSE_S
TASK_BOUND_S = 300.0
BY_NAME = {fault.name: fault for fault in FAULTS if fault.inject}


class Soak(Scenario):
    """Run steps; each is asked of the entries that live at its time."""

    def __init__(self, steps):
        super().__init__()
        self.steps = steps
        self.random = Random(0)
        self.answers_asked = []
        self.bookings = []
        self.published = []
        self.injected = 0
        self.marks = {}
        self.marks_read = 0

    @property
    def answers(self):
        return self.answers_asked

    @property
    def publishings(self):
        return [*self.published, *self.racing]

    def engine(self, stage=1):
        return self.world.engines[f'{self.random.choice("ab")}{stage}']

    def live(self):
        """Return the entries that live, in an order of chance."""
        found = [entry for entry in self.entries if not entry.dead]
        return self.random.sample(found, len(found))

    async def _run(self):
        for entry in self.entries:
            entry.start()
        repairs = self.world.loop.create_task(self._repair())
        follows = self.world.loop.create_task(self._follow_leaves())
        tasks = []
        for step in self.steps:
            await asyncio.sleep(max(0, step.at - self.world.loop.time()))
            work = self._work(step)
            if work is not None:
                tasks.append(self.world.loop.create_task(work))
        await self._all(tasks, TASK_BOUND_S)
        await self._settle()
        repairs.cancel()
        follows.cancel()

    def _work(self, step):
        # A schedule that lacks other steps makes the same choices.
        self.random = Random(step.number)
        name = f'{step.kind}-{step.number}'
        match step.kind:
            case 'answer':
                answer = Answering(self.world, name)
                self.answers_asked.append(answer)
                return answer.run(self.live())
            case 'booking':
                key = f'{int(self.world.wall())}-{name}'
                service = step.detail
                self.bookings.append(Booking(self.world, key, service))
                return self.bookings[-1].run(self.live()[:2])
            case 'publish':
                version = max(entry.version for entry in self.entries)
                self.published.append(
                    Publishing(self.world, name, document(name), version)
                )
                return self.published[-1].run(self.live())
        self._inject(step)
        return None

    def _inject(self, step):
        """Let a fault happen, unless the system is at its last entry."""
        self.desk = self.random.choice(['desk-1', 'desk-2'])
        ordered = self.entries
        self.entries = self.live()
        if len(self.entries) < 2:
            self.entries = ordered
            return
        self.injected += 1
        BY_NAME[step.detail].inject(self, step.where)
        self.entries = ordered

    async def _repair(self):
        """Replace what died and let those come back that left."""
        while True:
            await asyncio.sleep(REPAIR_S)
            for engine in self.world.engines.values():
                engine.dead = False
            for service in self.world.services.values():
                service.dead = False
            for left in self.leaving:
                await self._rejoin(left)
            while len(self.live()) < ENTRIES:
                self._replace(len(self.entries))

    def _replace(self, number):
        entry = TestEntry(self.world, number, ZONES[number % len(ZONES)])
        self.entries.append(entry)
        entry.start()

    async def _follow_leaves(self):
        """Count a leave from when the log or the list can tell of it."""
        while True:
            await asyncio.sleep(FOLLOW_S)
            for left in self.leaving:
                if not self._can_be_known(left.name):
                    left.at = min(left.until, self.world.loop.time())

    def _can_be_known(self, name):
        world = self.world
        listed = world.instances.lines[name].leaving
        if listed and not world.instances.stale:
            return True
        is_reached = world.log.up and world.delay_s('log') is not None
        return is_reached and self._is_marked(name)

    def _is_marked(self, name):
        stream = self.world.log.streams[CONFIGURATION_STREAM]
        unread = max(0, self.marks_read - stream.first)
        for logged in stream.records[unread:]:
            record = decode_record(logged.body).unwrap()
            if isinstance(record, MarkRecord):
                self.marks[record.instance] = record.mark
        self.marks_read = stream.end
        return self.marks.get(name) is Mark.LEAVE

    async def _rejoin(self, left):
        now = self.world.loop.time()
        if now < left.at + BACK_S or left.until < now:
            return
        # Work may come from the moment at which the mark is on its way.
        left.until = now
        self.world.instances.show_back(left.name)
        entry = next(iter(self.live()), self.entries[0])
        mark = MarkRequest(left.name, Mark.JOIN, f'join-{left.at}')
        await told_by(entry, entry.operations.mark, mark, REPAIR_S)

    async def _settle(self):
        await self._wait(self._is_healed, HEAL_BOUND_S)
        await self._wait(self._has_stopped, HEAL_BOUND_S)
        self.agreed = await self._wait(self._is_agreed, HEAL_BOUND_S)


def check(soak):
    """Return what does not hold at the end of a run."""
    return failures(soak, finishes=False)
