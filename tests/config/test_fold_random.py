"""Random runs of instances that fold one stream under faults.

Records expire, appends are lost or delayed, the log fails, and instances are
replaced.
"""

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
    """Return a state without its coverage, which only schedules snapshots."""
    return replace(state, coverage=Coverage())


class Simulation:
    """Instances, their log, and a reference reader that reads every record."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.log = FakeLog(retention_s=RETENTION_S)
        self.now = 0.0
        self.reference_fold = ConfigurationFold()
        self.history = {-1: bare(self.reference_fold.export_state())}
        self.folds = [ConfigurationFold() for _ in range(INSTANCES)]
        self.writers = [
            SnapshotWriter(RETENTION_S, self.rng) for _ in range(INSTANCES)
        ]
        self.gaps = 0
        self.last_offsets = [-1] * INSTANCES

    def run(self):
        actions = [self.publish, self.mark, self.poll, self.poll, self.poll,
                   self.send_update, self.fault, self.snapshot]  # fmt: skip
        for self.step in range(STEPS):
            self.now += self.rng.random() * 2
            number = self.rng.randrange(INSTANCES)
            self.rng.choice(actions)(number)
            self.update_reference()
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
            # While records are lost, the version in force must not change.
            assert fold.is_complete or fold.version == before
            self.gaps += not fold.is_complete

    def send_update(self, number):
        other = self.rng.choice(self.folds)
        update = encode_peer_update(self.folds[number], other.version)
        apply_peer_update(other, update)

    def snapshot(self, number):
        """Write a snapshot that is due, or at random one of a stale state."""
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
            self.last_offsets[number] = -1
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

    def update_reference(self):
        """Fold each new record into the reference reader."""
        stream = self.log.streams[CONFIGURATION_STREAM]
        for record in stream.records[
            self.reference_fold.next_offset - stream.first :
        ]:
            self.reference_fold.apply_records([record])
            self.history[self.reference_fold.last_offset] = bare(
                self.reference_fold.export_state()
            )

    def check(self):
        """Check each state against the reference at the same offset.

        The offset of an instance must not decrease.
        """
        for fold, last_offset in zip(
            self.folds, self.last_offsets, strict=True
        ):
            assert bare(fold.export_state()) == self.history[fold.last_offset]
            assert fold.last_offset >= last_offset
        self.last_offsets = [fold.last_offset for fold in self.folds]

    def restore(self):
        """Append a restoration, and let every instance read it."""
        self.log.up = True
        self.now += 1
        document = render_configuration(Configuration(0))
        version = self.reference_fold.version + 1000
        record = Restoration(version, 'restored', document, ())
        stream = self.log.streams[CONFIGURATION_STREAM]
        stream.expire(self.now - RETENTION_S)
        self.log.append_outcomes.clear()
        self.append(encode_record(record))
        self.update_reference()
        for fold in self.folds:
            catch_up(fold, self.log, self.now)
        return version


@pytest.fixture(scope='module')
def simulations():
    made = [Simulation(seed) for seed in SEEDS]
    for simulation in made:
        simulation.run()
    return made


def test_every_state_equals_the_reference_at_its_offset(simulations):
    assert (
        sum(simulation.reference_fold.version for simulation in simulations)
        > len(SEEDS) * 5
    )
    assert sum(simulation.gaps for simulation in simulations) > len(SEEDS)


def test_a_restoration_brings_all_instances_to_one_version(simulations):
    for simulation in simulations:
        version = simulation.restore()
        assert {fold.version for fold in simulation.folds} == {version}
        assert all(fold.is_complete for fold in simulation.folds)
