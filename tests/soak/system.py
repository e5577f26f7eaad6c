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
from tests.faults.callers import (
    AnswerClient,
    BookingClient,
    PublishClient,
    call_entry,
)
from tests.faults.checks import find_violations
from tests.faults.entry import TestEntry
from tests.faults.faults import CLAIMANT_PAUSE_S, FAULTS
from tests.faults.scenario import Scenario, document
from tests.faults.simulation import ZONES

REPAIR_INTERVAL_S = 6.0
REJOIN_DELAY_S = 15.0
LEAVE_POLL_INTERVAL_S = 0.05
ENTRY_COUNT = 3
RECOVERY_BOUND_S = 2 * CLAIMANT_PAUSE_S
TASK_BOUND_S = 300.0
FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS if fault.inject}


class Soak(Scenario):
    """Run steps; each is asked of the entries that live at its time."""

    def __init__(self, steps):
        super().__init__()
        self.steps = steps
        self.random = Random(0)
        self.started_answers = []
        self.bookings = []
        self.started_publications = []
        self.injected = 0
        self.marks = {}
        self.marks_read = 0

    @property
    def answers(self):
        return self.started_answers

    @property
    def publish_clients(self):
        return [*self.started_publications, *self.competitors]

    def engine(self, stage=1):
        return self.sim.engines[f'{self.random.choice("ab")}{stage}']

    def shuffled_live_entries(self):
        """Return the entries that live, in an order of chance."""
        live = [entry for entry in self.entries if not entry.dead]
        return self.random.sample(live, len(live))

    async def _run(self):
        for entry in self.entries:
            entry.start()
        repairs = self.sim.loop.create_task(self._repair())
        leave_tracking = self.sim.loop.create_task(self._track_leaves())
        tasks = []
        for step in self.steps:
            await asyncio.sleep(max(0, step.at - self.sim.loop.time()))
            coroutine = self._start_step(step)
            if coroutine is not None:
                tasks.append(self.sim.loop.create_task(coroutine))
        await self._all(tasks, TASK_BOUND_S)
        await self._await_recovery()
        repairs.cancel()
        leave_tracking.cancel()

    def _start_step(self, step):
        # A schedule that lacks other steps makes the same choices.
        self.random = Random(step.number)
        name = f'{step.kind}-{step.number}'
        match step.kind:
            case 'answer':
                answer = AnswerClient(self.sim, name)
                self.started_answers.append(answer)
                return answer.run(self.shuffled_live_entries())
            case 'booking':
                key = f'{int(self.sim.wall_time())}-{name}'
                service = step.detail
                self.bookings.append(BookingClient(self.sim, key, service))
                return self.bookings[-1].run(self.shuffled_live_entries()[:2])
            case 'publish':
                version = max(entry.version for entry in self.entries)
                self.started_publications.append(
                    PublishClient(self.sim, name, document(name), version)
                )
                return self.started_publications[-1].run(
                    self.shuffled_live_entries()
                )
        self._inject(step)
        return None

    def _inject(self, step):
        """Let a fault happen, unless the system is at its last entry."""
        self.service_endpoint = self.random.choice(['desk-1', 'desk-2'])
        ordered = self.entries
        self.entries = self.shuffled_live_entries()
        if len(self.entries) < 2:
            self.entries = ordered
            return
        self.injected += 1
        FAULTS_BY_NAME[step.detail].inject(self, step.where)
        self.entries = ordered

    async def _repair(self):
        """Replace what died and let those come back that left."""
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            for engine in self.sim.engines.values():
                engine.dead = False
            for service in self.sim.services.values():
                service.dead = False
            for left in self.leaves:
                await self._rejoin(left)
            while len(self.shuffled_live_entries()) < ENTRY_COUNT:
                self._replace(len(self.entries))

    def _replace(self, number):
        entry = TestEntry(self.sim, number, ZONES[number % len(ZONES)])
        self.entries.append(entry)
        entry.start()

    async def _track_leaves(self):
        """Count a leave from when the log or the list can tell of it."""
        while True:
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
            for left in self.leaves:
                if not self._is_leave_visible(left.name):
                    left.started_at = min(left.ended_at, self.sim.loop.time())

    def _is_leave_visible(self, name):
        sim = self.sim
        listed = sim.instances.by_name[name].leaving
        if listed and not sim.instances.stale:
            return True
        is_reached = sim.log.up and sim.delay_s('log') is not None
        return is_reached and self._is_marked(name)

    def _is_marked(self, name):
        stream = self.sim.log.streams[CONFIGURATION_STREAM]
        unread = max(0, self.marks_read - stream.first)
        for logged in stream.records[unread:]:
            record = decode_record(logged.body).unwrap()
            if isinstance(record, MarkRecord):
                self.marks[record.instance] = record.mark
        self.marks_read = stream.end
        return self.marks.get(name) is Mark.LEAVE

    async def _rejoin(self, left):
        now = self.sim.loop.time()
        if now < left.started_at + REJOIN_DELAY_S or left.ended_at < now:
            return
        # Work may come from the moment at which the mark is on its way.
        left.ended_at = now
        self.sim.instances.clear_leaving(left.name)
        entry = next(iter(self.shuffled_live_entries()), self.entries[0])
        mark = MarkRequest(left.name, Mark.JOIN, f'join-{left.started_at}')
        await call_entry(entry, entry.operations.mark, mark, REPAIR_INTERVAL_S)

    async def _await_recovery(self):
        await self._wait_until(self._outages_over, RECOVERY_BOUND_S)
        await self._wait_until(self._all_stopped, RECOVERY_BOUND_S)
        self.converged = await self._wait_until(
            self._has_converged, RECOVERY_BOUND_S
        )


def check(soak):
    """Return what does not hold at the end of a run."""
    return find_violations(soak, must_finish=False)
