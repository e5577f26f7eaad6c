"""Randomised simulation of entries on one claim stream, with faults."""

import random
from dataclasses import dataclass

import pytest

from foxtailhatch.core import RunState
from foxtailhatch.durable.claim_requests import MayRun, Refuse, Replay
from tests.durable.claim_fixtures import ANSWER, KEY, START, Entry, request
from tests.durable.fake_log import AppendOutcome, FakeLog

ENTRIES = 3
STEPS_PER_KEY_PAIR = 30
STEPS = 300
SEEDS = range(150)


@dataclass
class Try:
    """One request, with the steps at which it was submitted and decided."""

    key: str
    first: bool
    submitted_at: int
    decided_at: int | None = None
    not_run: bool = False


class Simulation:
    """The entries, the log, the service and the replies to callers."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.log = FakeLog()
        self.start_count = 0
        self.step = 0
        self.now = START
        self.tries = {}
        self.executions = []
        self.replays = 0
        self.paused_until = {}
        self.entries = [self.start_entry() for _ in range(ENTRIES)]

    def start_entry(self):
        self.start_count += 1
        return Entry(f'run-{self.start_count}', self.log)

    def run(self):
        for self.step in range(STEPS):
            self.now += self.rng.random()
            act = self.rng.choice(
                [self.submit, self.send, self.send, self.run_cycle, self.run_cycle,
                 self.run_cycle, self.read_only, self.append_only, self.fault],
            )  # fmt: skip
            entry = self.rng.choice(self.entries)
            if self.paused_until.get(entry.name, 0) <= self.step:
                act(entry)

    def submit(self, entry):
        name = f'r{self.step}'
        key = f'{KEY}{self.step // STEPS_PER_KEY_PAIR}{self.rng.randrange(2)}'
        known = any(other.key == key for other in self.tries.values())
        self.tries[name] = Try(key, not known, self.step)
        deadline = self.now + self.rng.choice([2, 50])
        entry.submit(
            request(name, key, deadline_at=deadline, first_try=not known),
            self.now,
        )
        self.check_decisions(entry)

    def send(self, entry):
        ready = [
            name
            for name, decision in entry.decisions.items()
            if isinstance(decision, MayRun)
        ]
        if not ready:
            return
        name = self.rng.choice(ready)
        permit = entry.claims.send_controller.authorize(self.now, name)
        if permit.value_or(None) is None:
            entry.decisions[name] = Refuse(name, permit.failure())
        else:
            self.carry_out(entry, name)
        self.check_decisions(entry)

    def carry_out(self, entry, name):
        fate = self.rng.choice(['answered', 'lost', 'lost_before', 'refused'])
        if fate in {'answered', 'lost'}:
            self.executions.append((self.step, name))
        if fate == 'answered':
            entry.claims.send_controller.record_outcome(name, ANSWER)
            entry.decisions.pop(name)
        elif fate == 'refused':
            entry.claims.send_controller.handle_not_executed(name)
            if self.rng.random() < 0.5:
                entry.decisions[name] = entry.claims.send_controller.release(
                    name
                )
        else:
            entry.decisions[name] = (
                entry.claims.send_controller.handle_lost_response(name)
            )

    def run_cycle(self, entry):
        entry.run_cycle(self.now)
        self.check_decisions(entry)

    def read_only(self, entry):
        entry.read(self.now, self.rng.choice([1, 2, 100]))
        self.check_decisions(entry)

    def append_only(self, entry):
        entry.append(self.now)

    def fault(self, entry):
        kind = self.rng.choice(
            ['fate', 'fate', 'land', 'log', 'restart', 'pause', 'pause'],
        )
        if kind == 'fate':
            self.log.append_outcomes.append(
                self.rng.choice(list(AppendOutcome))
            )
        elif kind == 'land':
            self.log.apply_delayed(self.now)
        elif kind == 'pause':
            self.paused_until[entry.name] = self.step + self.rng.randrange(
                5, 25
            )
        elif kind == 'log':
            self.log.up = not self.log.up
        elif self.rng.random() < 0.3:
            self.entries[self.entries.index(entry)] = self.start_entry()

    def check_decisions(self, entry):
        for name, decision in list(entry.decisions.items()):
            if isinstance(decision, MayRun):
                continue
            entry.decisions.pop(name)
            self.tries[name].decided_at = self.step
            if isinstance(decision, Replay):
                self.replays += 1
                assert self.runs_of(self.tries[name].key)
            else:
                run = decision.refusal.run
                self.tries[name].not_run = run is RunState.NOT_RUN

    def runs_of(self, key):
        return [
            (step, self.tries[name])
            for step, name in self.executions
            if self.tries[name].key == key
        ]


@pytest.fixture(scope='module')
def simulations():
    simulations = [Simulation(seed) for seed in SEEDS]
    for simulation in simulations:
        simulation.run()
    return simulations


def test_no_key_runs_twice(simulations):
    for simulation in simulations:
        ran = [simulation.tries[name].key for _, name in simulation.executions]
        assert len(ran) == len(set(ran))


def test_requests_refused_as_not_run_did_not_run(simulations):
    """No earlier run and no later run of an older try contradicts a refusal.

    A try that the caller submitted later, without waiting, may still run.
    The refusal of a first try covers only that try.
    """
    for simulation in simulations:
        for refused in simulation.tries.values():
            if not refused.not_run:
                continue
            for step, runner in simulation.runs_of(refused.key):
                assert runner is not refused
                assert refused.first or step > refused.decided_at
                assert runner.submitted_at > refused.submitted_at


def test_the_simulations_cover_runs_refusals_and_replays(simulations):
    tries = [
        attempt
        for simulation in simulations
        for attempt in simulation.tries.values()
    ]
    assert sum(len(simulation.executions) for simulation in simulations) > len(
        SEEDS
    )
    assert sum(attempt.not_run for attempt in tries) > len(SEEDS)
    assert (
        sum(simulation.replays for simulation in simulations) > len(SEEDS) / 4
    )
