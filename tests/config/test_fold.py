from foxtailhatch.config.configuration import Account, Configuration
from foxtailhatch.config.documents import render_configuration
from foxtailhatch.config.fold import (
    ConfigurationFold,
    RecordsLost,
    StateAdopted,
)
from foxtailhatch.config.outcomes import Accepted, Refused
from foxtailhatch.config.records import (
    CONFIGURATION_STREAM,
    MarkRecord,
    Publication,
    Restoration,
    SnapshotRecord,
)
from foxtailhatch.config.state import make_snapshot
from foxtailhatch.core import Mark
from tests.config.stream import append_records, catch_up, publication, read_all
from tests.durable.fake_log import FakeLog


def test_the_first_of_two_publications_from_one_version_is_accepted():
    log = FakeLog()
    append_records(
        log, publication(1, 'a'), publication(2, 'b'), publication(2, 'c')
    )
    fold, outcomes = read_all(log)
    refused = outcomes[-1]
    assert isinstance(refused, Refused)
    assert (refused.made_from, refused.in_force) == (1, 2)
    assert [line.name for line in refused.difference] == ['b', 'c']
    assert fold.in_force.accounts[0].name == 'b'
    assert fold.decision('2-b') == 2
    assert fold.decision('2-c') == 0


def test_a_repeated_publication_is_accepted_once():
    log = FakeLog()
    append_records(log, publication(1, 'a'), publication(1, 'a'))
    fold, outcomes = read_all(log)
    assert [type(outcome) for outcome in outcomes].count(Accepted) == 1
    assert fold.decision('1-a') == 1


def test_a_faulty_publication_changes_nothing():
    log = FakeLog()
    bad = Publication(2, 1, 'bad', b'{"accounts": 7}')
    append_records(log, publication(1, 'a'), bad)
    log.append(CONFIGURATION_STREAM, b'\xff not a record', 0)
    append_records(log, publication(2, 'b'))
    fold, outcomes = read_all(log)
    assert outcomes[1].faults[0].path == 'accounts'
    assert fold.version == 2


def test_a_late_retry_of_a_mark_does_not_undo_a_later_mark():
    log = FakeLog()
    leave = MarkRecord('m1', 'engine-1', Mark.LEAVE)
    append_records(log, leave, MarkRecord('m2', 'engine-1', Mark.JOIN), leave)
    fold, _ = read_all(log)
    assert fold.marks == {'engine-1': Mark.JOIN}


def snapshots_around_a_gap(*, has_fresh_snapshot):
    """Log versions 5 and 6 and then a stale snapshot of 5; expire up to 6."""
    log = FakeLog(retention_s=100)
    append_records(
        log, *(publication(number, f'v{number}') for number in range(1, 6))
    )
    paused, _ = read_all(log)
    append_records(log, publication(6, 'v6'), now=10.0)
    current, _ = read_all(log)
    append_records(log, make_snapshot(paused.export_state()), now=20.0)
    if has_fresh_snapshot:
        append_records(log, make_snapshot(current.export_state()), now=30.0)
    append_records(log, MarkRecord('m', 'engine-1', Mark.LEAVE), now=40.0)
    return log, current


def test_a_stale_snapshot_never_reverts_a_new_instance():
    log, current = snapshots_around_a_gap(has_fresh_snapshot=False)
    fold, outcomes = read_all(log, now=115.0)
    assert outcomes == [RecordsLost(0, 6)]
    assert fold.in_force is None
    assert not fold.is_complete
    assert fold.adopt_state(current.export_state())
    catch_up(fold, log, 115.0)
    assert fold.version == 6
    assert fold.marks == {'engine-1': Mark.LEAVE}


def test_a_covering_snapshot_fills_the_gap_behind_a_stale_one():
    log, _ = snapshots_around_a_gap(has_fresh_snapshot=True)
    fold, outcomes = read_all(log, now=115.0)
    assert StateAdopted(6, 5) in outcomes
    assert (fold.version, fold.is_complete) == (6, True)
    assert fold.marks == {'engine-1': Mark.LEAVE}


def test_an_incomplete_reader_keeps_its_version_and_accepts_nothing():
    log = FakeLog(retention_s=100)
    append_records(log, publication(1, 'a'))
    fold, _ = read_all(log)
    append_records(log, publication(2, 'b'), now=10.0)
    append_records(log, publication(2, 'c'), now=200.0)
    assert catch_up(fold, log, 200.0) == [RecordsLost(1, 2)]
    assert (fold.version, fold.is_complete) == (1, False)


def test_a_restoration_ends_a_gap_for_old_and_new_readers():
    log, current = snapshots_around_a_gap(has_fresh_snapshot=False)
    cfg = Configuration(9, accounts=(Account('restored'),))
    document = render_configuration(cfg)
    append_records(log, Restoration(9, 'r', document, ()), now=50.0)
    new, _ = read_all(log, now=115.0)
    catch_up(current, log, 115.0)
    assert new.in_force == current.in_force == cfg
    assert new.marks == current.marks == {}


def test_a_stale_state_of_a_peer_is_not_adopted():
    log = FakeLog()
    append_records(log, publication(1, 'a'))
    stale = read_all(log)[0].export_state()
    append_records(log, publication(2, 'b'))
    fold, _ = read_all(log)
    assert not fold.adopt_state(stale)
    assert fold.version == 2


# Guards against an accepted configuration that a restored log takes back.
def test_a_restored_log_takes_no_version_back():
    log = FakeLog()
    append_records(log, publication(1, 'a'), publication(2, 'b'))
    known, _ = read_all(log)
    log.restore(lost=1)
    append_records(log, publication(2, 'other'))
    catch_up(known, log)
    started, _ = read_all(log)
    assert (known.version, known.in_force.accounts[0].name) == (2, 'b')
    assert not known.is_complete
    assert started.is_complete
    assert not known.adopt_state(started.export_state())


def test_a_restored_state_of_a_peer_replaces_no_newer_version():
    log = FakeLog()
    append_records(log, publication(1, 'a'), publication(2, 'b'))
    known, _ = read_all(log)
    log.restore(lost=1)
    started, _ = read_all(log)
    assert started.version == 1
    assert not known.adopt_state(started.export_state())
    assert started.adopt_state(known.export_state())
    catch_up(started, log)
    assert started.version == known.version == 2


def test_a_restoration_is_accepted_by_all_readers_of_a_restored_log():
    log = FakeLog()
    append_records(log, publication(1, 'a'), publication(2, 'b'))
    known, _ = read_all(log)
    log.restore(lost=1)
    cfg = Configuration(3, accounts=(Account('restored'),))
    document = render_configuration(cfg)
    append_records(log, Restoration(3, 'r', document, ()))
    started, _ = read_all(log)
    catch_up(known, log)
    assert known.in_force == started.in_force == cfg
    assert known.is_complete


def test_a_page_from_a_later_offset_is_not_folded():
    log = FakeLog()
    append_records(
        log, publication(1, 'a'), publication(2, 'b'), publication(3, 'c')
    )
    page = log.read(CONFIGURATION_STREAM, 2, 0.0).unwrap()
    fold = ConfigurationFold()
    assert fold.apply_page(page) == []
    assert (fold.version, fold.next_offset) == (0, 0)


def test_records_from_a_peer_fill_a_gap():
    log = FakeLog(retention_s=100)
    append_records(log, publication(1, 'a'))
    behind, _ = read_all(log)
    append_records(log, publication(2, 'b'), now=10.0)
    ahead, _ = read_all(log)
    append_records(log, publication(3, 'c'), now=150.0)
    catch_up(behind, log, 150.0)
    assert not behind.is_complete
    behind.apply_records(ahead.records_after(behind.last_offset))
    assert (behind.version, behind.is_complete) == (2, True)
    catch_up(behind, log, 150.0)
    assert behind.version == 3


def test_a_corrupt_snapshot_does_not_fill_a_gap():
    log = FakeLog(retention_s=100)
    append_records(log, publication(1, 'a'))
    broken = SnapshotRecord(0, 1, b'not compressed', ())
    append_records(log, broken, now=50.0)
    fold, _ = read_all(log, now=120.0)
    assert fold.in_force is None


def test_records_of_a_peer_are_folded_only_in_order():
    log = FakeLog()
    append_records(log, publication(1, 'a'), publication(2, 'b'))
    ahead, _ = read_all(log)
    fold = ConfigurationFold()
    records = ahead.records_after(-1)
    assert fold.apply_records(records[1:]) == []
    assert fold.version == 0
    fold.apply_records(records + records)
    assert fold.version == 2


def test_a_restoration_not_above_the_version_in_force_is_ignored():
    log = FakeLog()
    append_records(log, publication(1, 'a'), publication(2, 'b'))
    document = publication(2, 'restored').document
    append_records(log, Restoration(2, 'r', document, ()))
    fold, _ = read_all(log)
    assert fold.in_force.accounts[0].name == 'b'


def test_a_stale_state_of_the_same_version_does_not_revert_a_mark():
    log = FakeLog()
    append_records(log, publication(1, 'a'))
    stale = read_all(log)[0].export_state()
    append_records(log, MarkRecord('m1', 'engine-1', Mark.LEAVE))
    fold, _ = read_all(log)
    assert not fold.adopt_state(stale)
    assert fold.marks == {'engine-1': Mark.LEAVE}


def test_a_snapshot_that_no_longer_covers_the_gap_is_ignored():
    """More records expire between detecting the gap and the snapshot."""
    log = FakeLog(retention_s=100)
    append_records(log, publication(1, 'a'))
    early, _ = read_all(log)
    append_records(log, publication(2, 'b'), now=50.0)
    append_records(log, MarkRecord('m', 'engine-1', Mark.LEAVE), now=140.0)
    fold, _ = read_all(log, now=120.0)
    assert not fold.is_complete
    append_records(log, make_snapshot(early.export_state()), now=160.0)
    catch_up(fold, log, 200.0)
    assert fold.in_force is None
