import random
from dataclasses import replace

from foxtailhatch.config.coverage import Coverage
from foxtailhatch.config.fold import ConfigurationFold
from foxtailhatch.config.snapshots import MIN_WRITE_INTERVAL_S, SnapshotWriter
from foxtailhatch.config.state import make_snapshot, restore_state
from tests.config.stream import append_records, catch_up, publication, read_all
from tests.durable.fake_log import FakeLog

RETENTION_S = 1000.0


def make_writers(count):
    return [
        SnapshotWriter(RETENTION_S, random.Random(seed))
        for seed in range(count)
    ]


def run(log, folds, until, step=10, start=0):
    """Let each instance poll and write; return the number of snapshots."""
    written = 0
    writers = make_writers(len(folds))
    for now in range(start, until, step):
        for fold, writer in zip(folds, writers, strict=True):
            catch_up(fold, log, now)
            snapshot = writer.step(now, fold, caught_up=True)
            if snapshot:
                log.append(snapshot.stream, snapshot.body, now)
                written += 1
    return written


def test_snapshots_preserve_the_latest_version_over_many_retentions():
    log = FakeLog(retention_s=RETENTION_S)
    append_records(log, publication(1, 'a'), publication(2, 'b'))
    written = run(log, [ConfigurationFold() for _ in range(5)], 10_000)
    fold, _ = read_all(log, 10_000)
    assert (fold.version, fold.is_complete) == (2, True)
    assert written < 10_000 / RETENTION_S * 8


def test_a_stale_snapshot_does_not_postpone_the_next_one():
    log = FakeLog(retention_s=RETENTION_S)
    append_records(log, publication(1, 'a'))
    paused, _ = read_all(log)
    append_records(log, publication(2, 'b'))
    writer = make_writers(1)[0]
    stale = writer.step(600.0, paused, caught_up=True)
    log.append(stale.stream, stale.body, 600.0)
    fold, _ = read_all(log, 601.0)
    assert make_writers(1)[0].step(601.0, fold, caught_up=True)


def test_a_covering_snapshot_postpones_the_next_one():
    log = FakeLog(retention_s=RETENTION_S)
    append_records(log, publication(1, 'a'))
    fold, _ = read_all(log)
    writer = make_writers(1)[0]
    covering = writer.step(600.0, fold, caught_up=True)
    assert writer.step(601.0, fold, caught_up=True) is None
    log.append(covering.stream, covering.body, 600.0)
    catch_up(fold, log, 602.0)
    assert (
        writer.step(600.0 + 2 * MIN_WRITE_INTERVAL_S, fold, caught_up=True)
        is None
    )


def test_an_outage_longer_than_the_retention_loses_nothing():
    log = FakeLog(retention_s=RETENTION_S)
    append_records(log, publication(1, 'a'))
    survivor, _ = read_all(log)
    newcomer = ConfigurationFold()
    assert newcomer.adopt_state(survivor.export_state())
    back = 5 * int(RETENTION_S)
    assert run(log, [newcomer], back + 100, start=back) == 1
    fold, _ = read_all(log, back + 100)
    assert (fold.version, fold.is_complete) == (1, True)


def test_an_incomplete_reader_writes_no_snapshot():
    log = FakeLog(retention_s=RETENTION_S)
    append_records(log, publication(1, 'a'))
    fold, _ = read_all(log)
    append_records(log, publication(2, 'b'), now=10.0)
    append_records(log, publication(2, 'c'), now=2000.0)
    catch_up(fold, log, 2000.0)
    assert make_writers(1)[0].step(2000.0, fold, caught_up=True) is None


def test_a_late_stale_snapshot_does_not_lower_the_coverage():
    coverage = (
        Coverage().add_record(0, 1.0).add_record(1, 2.0).add_record(2, 3.0)
    )
    covered = coverage.after_snapshot(1)
    assert covered.oldest_uncovered_time == 3.0
    assert covered.after_snapshot(0) == covered


def test_an_instance_with_a_state_from_a_peer_writes_the_snapshot():
    log = FakeLog(retention_s=RETENTION_S)
    append_records(log, publication(1, 'a'))
    replaced, _ = read_all(log)
    passed_on = restore_state(make_snapshot(replaced.export_state())).unwrap()
    assert passed_on == replaced.export_state()
    newcomer = ConfigurationFold()
    newcomer.adopt_state(passed_on)
    assert run(log, [newcomer], 900, start=1) == 1
    fold, _ = read_all(log, 1200)
    assert fold.version == 1


def test_a_state_without_coverage_gets_a_snapshot_soon():
    log = FakeLog(retention_s=RETENTION_S)
    append_records(log, publication(1, 'a'))
    snapshot = make_snapshot(read_all(log)[0].export_state())
    bare = replace(snapshot, coverage=Coverage())
    newcomer = ConfigurationFold()
    newcomer.adopt_state(restore_state(bare).unwrap())
    assert make_writers(1)[0].step(RETENTION_S, newcomer, caught_up=True)
