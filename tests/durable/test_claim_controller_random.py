"""Random runs of several entries over one claim stream, under all faults."""

import random
from dataclasses import dataclass

import pytest

from foxtailhatch.core import RunState
from foxtailhatch.durable.claim_requests import MayRun, Refuse, Replay
from tests.durable.claim_fixtures import ANSWER, KEY, START, Entry, request
from tests.durable.fake_log import AppendOutcome, FakeLog

ENTRIES = 3
EPOCH = 30
STEPS = 300
SEEDS = range(150)


@dataclass
class Try:
    """One request: when it began and ended, and when it was carried out."""

    key: str
    first: bool
    began: int
    ended: int | None = None
    not_run: bool = False


class World:
    """The entries, the log, the service and what callers were told."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.log = FakeLog()
        self.starts = 0
        self.step = 0
        self.now = START
        self.tries = {}
        self.carried_out = []
        self.replays = 0
        self.asleep = {}
        self.entries = [self.started() for _ in range(ENTRIES)]

    def started(self):
        self.starts += 1
        return Entry(f'run-{self.starts}', self.log)

    def run(self):
        for self.step in range(STEPS):
            self.now += self.rng.random()
            act = self.rng.choice(
                [self.submit, self.send, self.send, self.turn, self.turn,
                 self.turn, self.read_only, self.append_only, self.fault],
            )  # fmt: skip
            entry = self.rng.choice(self.entries)
            if self.asleep.get(entry.name, 0) <= self.step:
                act(entry)

    def submit(self, entry):
        name = f'r{self.step}'
        key = f'{KEY}{self.step // EPOCH}{self.rng.randrange(2)}'
        known = any(other.key == key for other in self.tries.values())
        self.tries[name] = Try(key, not known, self.step)
        deadline = self.now + self.rng.choice([2, 50])
        entry.submit(
            request(name, key, deadline_at=deadline, first_try=not known),
            self.now,
        )
        self.hear(entry)

    def send(self, entry):
        ready = [
            name
            for name, found in entry.told.items()
            if isinstance(found, MayRun)
        ]
        if not ready:
            return
        name = self.rng.choice(ready)
        right = entry.claims.send_controller.authorise(self.now, name)
        if right.value_or(None) is None:
            entry.told[name] = Refuse(name, right.failure())
        else:
            self.carry_out(entry, name)
        self.hear(entry)

    def carry_out(self, entry, name):
        fate = self.rng.choice(['answered', 'lost', 'lost_before', 'refused'])
        if fate in {'answered', 'lost'}:
            self.carried_out.append((self.step, name))
        if fate == 'answered':
            entry.claims.send_controller.record_outcome(name, ANSWER)
            entry.told.pop(name)
        elif fate == 'refused':
            entry.claims.send_controller.handle_not_executed(name)
            if self.rng.random() < 0.5:
                entry.told[name] = entry.claims.send_controller.release(name)
        else:
            entry.told[name] = (
                entry.claims.send_controller.handle_lost_response(name)
            )

    def turn(self, entry):
        entry.turn(self.now)
        self.hear(entry)

    def read_only(self, entry):
        entry.read(self.now, self.rng.choice([1, 2, 100]))
        self.hear(entry)

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
            self.asleep[entry.name] = self.step + self.rng.randrange(5, 25)
        elif kind == 'log':
            self.log.up = not self.log.up
        elif self.rng.random() < 0.3:
            self.entries[self.entries.index(entry)] = self.started()

    def hear(self, entry):
        for name, found in list(entry.told.items()):
            if isinstance(found, MayRun):
                continue
            entry.told.pop(name)
            self.tries[name].ended = self.step
            if isinstance(found, Replay):
                self.replays += 1
                assert self.runs_of(self.tries[name].key)
            else:
                told = found.refusal.run
                self.tries[name].not_run = told is RunState.NOT_RUN

    def runs_of(self, key):
        return [
            (step, self.tries[name])
            for step, name in self.carried_out
            if self.tries[name].key == key
        ]


@pytest.fixture(scope='module')
def worlds():
    made = [World(seed) for seed in SEEDS]
    for world in made:
        world.run()
    return made


def test_no_key_runs_twice(worlds):
    for world in worlds:
        ran = [world.tries[name].key for _, name in world.carried_out]
        assert len(ran) == len(set(ran))


def test_what_was_called_not_run_did_not_run(worlds):
    """No run came before the word, nor from any older try after it.

    A try that the caller began later, without waiting, may still run.  A
    first try speaks for itself only.
    """
    for world in worlds:
        for told in world.tries.values():
            if not told.not_run:
                continue
            for step, runner in world.runs_of(told.key):
                assert runner is not told
                assert told.first or step > told.ended
                assert runner.began > told.began


def test_the_runs_are_worth_checking(worlds):
    tries = [one for world in worlds for one in world.tries.values()]
    assert sum(len(world.carried_out) for world in worlds) > len(SEEDS)
    assert sum(one.not_run for one in tries) > len(SEEDS)
    assert sum(world.replays for world in worlds) > len(SEEDS) / 4
