"""System that serves requests under random faults and repairs itself.

Seeded schedules are used instead of rule-based state machine tests because
the interesting interleavings occur between the awaits of many tasks at exact
virtual times, and a list of timed steps can be replayed and minimized too.
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
    """Scenario that runs each step on the entries live at its time."""

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
        """Return the live entries in random order."""
        live = [entry for entry in self.entries if not entry.dead]
        return self.random.sample(live, len(live))

    async def _run(self):
        for entry in self.entries:
            entry.start()
        repair_task = self.sim.loop.create_task(self._repair())
        leave_task = self.sim.loop.create_task(self._track_leaves())
        tasks = []
        for step in self.steps:
            await asyncio.sleep(max(0, step.at - self.sim.loop.time()))
            coroutine = self._start_step(step)
            if coroutine is not None:
                tasks.append(self.sim.loop.create_task(coroutine))
        await self._all(tasks, TASK_BOUND_S)
        await self._await_recovery()
        repair_task.cancel()
        leave_task.cancel()

    def _start_step(self, step):
        # Reseed by step number: a step of a minimized schedule makes the
        # same choices as in the full schedule.
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
        """Inject a fault unless fewer than two entries are live."""
        self.service_endpoint = self.random.choice(['desk-1', 'desk-2'])
        ordered = self.entries
        self.entries = self.shuffled_live_entries()
        if len(self.entries) < 2:
            self.entries = ordered
            return
        self.injected += 1
        FAULTS_BY_NAME[step.detail].inject(self, step.fault_step)
        self.entries = ordered

    async def _repair(self):
        """Revive dead endpoints, rejoin those that left, replace entries."""
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            for engine in self.sim.engines.values():
                engine.dead = False
            for service in self.sim.services.values():
                service.dead = False
            for leave in self.leaves:
                await self._rejoin(leave)
            while len(self.shuffled_live_entries()) < ENTRY_COUNT:
                self._replace(len(self.entries))

    def _replace(self, number):
        entry = TestEntry(self.sim, number, ZONES[number % len(ZONES)])
        self.entries.append(entry)
        entry.start()

    async def _track_leaves(self):
        """Delay the start of a leave until the log or the list shows it."""
        while True:
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
            for leave in self.leaves:
                if not self._is_leave_visible(leave.name):
                    leave.started_at = min(leave.ended_at, self.sim.loop.time())

    def _is_leave_visible(self, name):
        sim = self.sim
        is_listed = sim.instances.by_name[name].leaving
        if is_listed and not sim.instances.stale:
            return True
        is_log_reachable = sim.log.up and sim.delay_s('log') is not None
        return is_log_reachable and self._is_marked(name)

    def _is_marked(self, name):
        stream = self.sim.log.streams[CONFIGURATION_STREAM]
        first_unread = max(0, self.marks_read - stream.first)
        for record_entry in stream.records[first_unread:]:
            record = decode_record(record_entry.body).unwrap()
            if isinstance(record, MarkRecord):
                self.marks[record.instance] = record.mark
        self.marks_read = stream.end
        return self.marks.get(name) is Mark.LEAVE

    async def _rejoin(self, leave):
        now = self.sim.loop.time()
        if now < leave.started_at + REJOIN_DELAY_S or leave.ended_at < now:
            return
        # Work is allowed from the time at which the join mark is sent.
        leave.ended_at = now
        self.sim.instances.clear_leaving(leave.name)
        entry = next(iter(self.shuffled_live_entries()), self.entries[0])
        mark = MarkRequest(leave.name, Mark.JOIN, f'join-{leave.started_at}')
        await call_entry(entry, entry.operations.mark, mark, REPAIR_INTERVAL_S)

    async def _await_recovery(self):
        await self._wait_until(self._outages_over, RECOVERY_BOUND_S)
        await self._wait_until(self._all_stopped, RECOVERY_BOUND_S)
        self.converged = await self._wait_until(
            self._has_converged, RECOVERY_BOUND_S
        )


def check(soak):
    """Return the violations at the end of a run."""
    return find_violations(soak, must_finish=False)
