"""Random runs of instances that fold one stream, with all that is lost."""

import random
from dataclasses import replace

import pytest

from foxtailhatch.config.configuration import Account, Configuration
from foxtailhatch.config.coverage import Coverage
from foxtailhatch.config.documents import render_configuration
from foxtailhatch.config.fold import ConfigurationFold
from foxtailhatch.config.peer_updates import (
    apply_peer_update,
    encode_peer_update,
)
from foxtailhatch.config.publisher import start_publication
from foxtailhatch.config.records import (
    CONFIGURATION_STREAM,
    MarkRecord,
    Restoration,
    encode_record,
)
from foxtailhatch.config.snapshots import SnapshotWriter
from foxtailhatch.config.state import make_snapshot
from foxtailhatch.core import Mark
from tests.config.stream import catch_up
from tests.durable.fake_log import AppendOutcome, FakeLog

INSTANCES = 4
STEPS = 250
RETENTION_S = 60.0
SEEDS = range(60)


def bare(state):
    """Return a state without its coverage, which only guides snapshots."""
    return replace(state, coverage=Coverage())


class World:
    """Instances, their log, and a reader that never misses a record."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.log = FakeLog(retention_s=RETENTION_S)
        self.now = 0.0
        self.truth = ConfigurationFold()
        self.history = {-1: bare(self.truth.export_state())}
        self.folds = [ConfigurationFold() for _ in range(INSTANCES)]
        self.writers = [
            SnapshotWriter(RETENTION_S, self.rng) for _ in range(INSTANCES)
        ]
        self.gaps = 0
        self.reached = [-1] * INSTANCES

    def run(self):
        acts = [self.publish, self.mark, self.poll, self.poll, self.poll,
                self.tell, self.fault, self.snapshot]  # fmt: skip
        for self.step in range(STEPS):
            self.now += self.rng.random() * 2
            number = self.rng.randrange(INSTANCES)
            self.rng.choice(acts)(number)
            self.watch()
            self.check()

    def append(self, body):
        self.log.append(CONFIGURATION_STREAM, body, self.now)

    def publish(self, number):
        fold = self.folds[number]
        name = self.rng.choice(['a', 'b', 'c'])
        document = render_configuration(
            Configuration(0, accounts=(Account('x'), Account(name))),
        )
        made_from = fold.version if self.rng.random() < 0.8 else 0
        unique = f'p{self.rng.randrange(100)}'
        begun = start_publication(0, fold, document, made_from, unique)
        begun.map(lambda attempt: self.append(attempt.append.record.body))

    def mark(self, number):
        mark = self.rng.choice(list(Mark))
        record = MarkRecord(f'm{self.rng.randrange(50)}', f'e{number}', mark)
        self.append(encode_record(record))

    def poll(self, number):
        if self.log.up:
            fold = self.folds[number]
            before = fold.version
            catch_up(fold, self.log, self.now)
            # With records lost, no older state may come into force.
            assert fold.is_complete or fold.version == before
            self.gaps += not fold.is_complete

    def tell(self, number):
        other = self.rng.choice(self.folds)
        update = encode_peer_update(self.folds[number], other.version)
        apply_peer_update(other, update)

    def snapshot(self, number):
        """Write one when it is due, or a stale one out of a pause."""
        fold = self.folds[number]
        due = self.writers[number].step(self.now, fold, caught_up=True)
        if due:
            self.append(due.body)
        elif self.rng.random() < 0.2 and fold.is_complete:
            self.append(encode_record(make_snapshot(fold.export_state())))

    def fault(self, number):
        kind = self.rng.choice(['replace', 'fate', 'land', 'log', 'pass'])
        if kind == 'replace':
            self.folds[number] = ConfigurationFold()
            self.reached[number] = -1
        elif kind == 'fate':
            self.log.append_outcomes.append(
                self.rng.choice(list(AppendOutcome))
            )
        elif kind == 'land':
            self.log.apply_delayed(self.now)
        elif kind == 'log':
            self.log.up = not self.log.up
        elif self.rng.random() < 0.2:
            self.now += RETENTION_S * self.rng.random() * 1.5

    def watch(self):
        """Let the true reader fold each record as it lands."""
        stream = self.log.streams[CONFIGURATION_STREAM]
        for record in stream.records[self.truth.next_offset - stream.first :]:
            self.truth.apply_records([record])
            self.history[self.truth.through] = bare(self.truth.export_state())

    def check(self):
        """Each instance holds what was true at its offset, and goes on."""
        for fold, reached in zip(self.folds, self.reached, strict=True):
            assert bare(fold.export_state()) == self.history[fold.through]
            assert fold.through >= reached
        self.reached = [fold.through for fold in self.folds]

    def restore(self):
        """An operator restores what was lost; then all agree."""
        self.log.up = True
        self.now += 1
        document = render_configuration(Configuration(0))
        version = self.truth.version + 1000
        record = Restoration(version, 'restored', document, ())
        stream = self.log.streams[CONFIGURATION_STREAM]
        stream.expire(self.now - RETENTION_S)
        self.log.append_outcomes.clear()
        self.append(encode_record(record))
        self.watch()
        for fold in self.folds:
            catch_up(fold, self.log, self.now)
        return version


@pytest.fixture(scope='module')
def worlds():
    made = [World(seed) for seed in SEEDS]
    for world in made:
        world.run()
    return made


def test_every_instance_holds_what_was_true_at_its_offset(worlds):
    assert sum(world.truth.version for world in worlds) > len(SEEDS) * 5
    assert sum(world.gaps for world in worlds) > len(SEEDS)


def test_a_restoration_brings_all_instances_together(worlds):
    for world in worlds:
        version = world.restore()
        assert {fold.version for fold in world.folds} == {version}
        assert all(fold.is_complete for fold in world.folds)
