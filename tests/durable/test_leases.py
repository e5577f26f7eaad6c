import random

import pytest

from foxtailhatch.durable.lease_holder import LeaseHolder
from foxtailhatch.durable.leases import (
    LEASE_STREAM,
    LEASE_TERM_S,
    LeaseTable,
    RenewLease,
    TakeLease,
    encode_lease_record,
)
from tests.durable.fake_log import AppendOutcome, FakeLog

RETENTION_S = 600.0


class Candidate:
    """A candidate for the lease; ``awake`` is false while it is paused."""

    def __init__(self, name, log):
        self.log = log
        self.table = LeaseTable()
        self.holder = LeaseHolder('placement', name, random.Random(name))
        self.awake = True

    def run_cycle(self, now):
        if not self.awake:
            return
        self.read(now)
        append = self.holder.step(now, self.table)
        if append:
            self.log.append(append.stream, append.body, now)
        self.read(now)

    def read(self, now):
        page = self.log.read(LEASE_STREAM, self.table.next_offset, now)
        page.map(
            lambda found: self.holder.apply_grants(
                self.table.apply_page(now, found),
            ),
        )

    def fence(self, now):
        held = self.holder.current_lease(now)
        return held.fence if held else None


def candidates(log, count=3):
    return [Candidate(f'entry-{number}', log) for number in range(count)]


def run(entries, start, end, step=0.5):
    """Return the fencing tokens held at each time, one per entry."""
    held_fences = []
    now = start
    while now < end:
        for entry in entries:
            entry.run_cycle(now)
        held_fences.append([entry.fence(now) for entry in entries])
        now += step
    return held_fences


def holders(fences):
    return [fence for fence in fences if fence is not None]


def test_one_candidate_holds_and_keeps_the_lease():
    entries = candidates(FakeLog())
    held_fences = run(entries, 0, 60)
    assert all(len(holders(moment)) <= 1 for moment in held_fences)
    assert (
        len({fence for moment in held_fences for fence in holders(moment)}) == 1
    )
    assert len(holders(held_fences[-1])) == 1


def test_a_paused_holder_stops_before_the_next_one_starts():
    log = FakeLog()
    entries = candidates(log)
    first = holders(run(entries, 0, 20)[-1])[0]
    paused = next(entry for entry in entries if entry.fence(20) == first)
    paused.awake = False
    held_fences = run(entries, 20, 60)
    assert all(len(holders(moment)) <= 1 for moment in held_fences)
    assert holders(held_fences[-1])[0] > first
    paused.awake = True
    assert paused.fence(60) is None


def test_a_grant_that_is_read_late_is_not_used():
    log = FakeLog()
    entry = candidates(log, 1)[0]
    for now in range(10):
        append = entry.holder.step(now, entry.table)
        if append:
            log.append(append.stream, append.body, now)
            break
    entry.read(now + LEASE_TERM_S)
    assert entry.fence(now + LEASE_TERM_S) is None


@pytest.mark.parametrize('seed', range(10))
def test_lost_responses_and_outages_leave_at_most_one_holder(seed):
    rng = random.Random(seed)
    log = FakeLog(retention_s=RETENTION_S)
    entries = candidates(log, 4)
    newest = -1
    for now in range(400):
        log.up = rng.random() < 0.8
        log.append_outcomes.extend(rng.choices(list(AppendOutcome), k=1))
        log.apply_delayed(now)
        for entry in entries:
            entry.awake = rng.random() < 0.6
        if rng.random() < 0.02:
            entries[rng.randrange(4)] = Candidate(f'late-{now}', log)
        held = holders(run(entries, now, now + 1)[-1])
        assert len(held) <= 1
        assert all(fence >= newest for fence in held)
        newest = max([newest, *held])
    assert newest > 0


def test_a_reader_that_lost_records_grants_no_lease_before_a_term():
    log = FakeLog(retention_s=RETENTION_S)
    entries = candidates(log)
    run(entries, 0, 20)
    log.streams[LEASE_STREAM].expire(18)
    fresh = Candidate('fresh', log)
    held_fences = run([*entries, fresh], 20, 200)
    assert all(len(holders(moment)) == 1 for moment in held_fences)
    assert fresh.table.state('placement').fence == holders(held_fences[-1])[0]


# Guards against two holders, and against tokens that endpoints have seen.
@pytest.mark.parametrize('lost', [0, 1, 3, 90])
def test_a_restored_log_leaves_one_holder_and_rising_tokens(lost):
    log = FakeLog()
    entries = candidates(log)
    before = max(holders(run(entries, 0, 20)[-1]))
    log.restore(lost)
    fresh = Candidate('fresh', log)
    held_fences = run([*entries, fresh], 20, 120)
    assert all(len(holders(moment)) <= 1 for moment in held_fences)
    assert holders(held_fences[-1])[0] >= before
    entries[0].awake = entries[1].awake = entries[2].awake = False
    after = run([fresh], 120, 220)
    assert holders(after[-1])[0] > before


def test_a_released_lease_is_taken_within_seconds():
    log = FakeLog()
    entries = candidates(log, 2)
    run(entries, 0, 20)
    holder = next(entry for entry in entries if entry.fence(20) is not None)
    release = holder.holder.release(20)
    log.append(release.stream, release.body, 20)
    holder.awake = False
    held_fences = run(entries, 20, 20 + LEASE_TERM_S / 2)
    assert len(holders(held_fences[-1])) == 1


def put(log, now, *records):
    for record in records:
        log.append(LEASE_STREAM, encode_lease_record(record), now)


def table_of(log, now):
    table = LeaseTable()
    page = log.read(LEASE_STREAM, 0, now).unwrap()
    return table, table.apply_page(now, page)


def test_a_take_after_lost_records_is_not_granted_before_its_renewal():
    log = FakeLog()
    put(log, 0, TakeLease('placement', 'a'))
    put(log, 5, RenewLease('placement', 'b', 0))
    put(log, 8, TakeLease('placement', 'refused'))
    put(log, 9, RenewLease('placement', 'c', 0))
    log.streams[LEASE_STREAM].expire(7)
    table, grants = table_of(log, 10)
    assert table.state('placement').fence == 0
    assert grants == []
    assert not table.is_free('placement', 10 + LEASE_TERM_S)


def test_a_renewal_of_an_earlier_lease_is_refused():
    log = FakeLog()
    put(log, 0, TakeLease('placement', 'a'))
    put(log, LEASE_TERM_S, TakeLease('placement', 'b'))
    put(log, LEASE_TERM_S + 5, RenewLease('placement', 'late', 0))
    table, grants = table_of(log, LEASE_TERM_S + 6)
    assert [grant.request_id for grant in grants] == ['a', 'b']
    assert table.is_free('placement', 2 * LEASE_TERM_S)
