"""Faults that could make a request run twice or be misreported."""

import pytest

from foxtailhatch.core import Invariant, InvariantViolation, RunState
from foxtailhatch.durable.claim_controller import HOLDER_TIMEOUT_S
from foxtailhatch.durable.claim_records import Done, KeyOwner, Outcome
from foxtailhatch.durable.claim_refusals import not_sent_in_time
from foxtailhatch.durable.claim_settings import ClaimSettings
from foxtailhatch.durable.outbox import APPEND_TIMEOUT_S, RETRY_DELAY_S
from foxtailhatch.durable.pending_requests import PendingRequest
from tests.durable.claim_fixtures import (
    ANSWER,
    KEY,
    RETENTION_S,
    SETTINGS,
    START,
    Entry,
    request,
)
from tests.durable.fake_log import AppendOutcome, FakeLog

UNKNOWN = ('outcome_unknown', 'unknown')
IN_USE = ('key_in_use', 'unknown')


def cluster(count=2, **log):
    shared = FakeLog(**log)
    return shared, [Entry(f'entry-{number}', shared) for number in range(count)]


def submit_and_permit(entry, now=START, **options):
    entry.submit(request(**options), now)
    entry.run_cycle(now)
    assert entry.may_run()


def test_no_request_is_sent_before_its_claim_is_read_back():
    _, (entry, _) = cluster()
    entry.submit(request())
    entry.append()
    assert not entry.decisions
    assert entry.send().failure().run is RunState.UNKNOWN
    entry.read()
    assert entry.send().unwrap().fence == 0


@pytest.mark.parametrize('outcome', list(AppendOutcome))
def test_a_lost_append_response_causes_no_second_run(outcome):
    log, (entry, other) = cluster()
    log.append_outcomes.append(outcome)
    entry.submit(request())
    entry.run_cycle()
    log.apply_delayed(START + 0.5)
    entry.run_cycle(START + 1)
    entry.run_cycle(START + 2)
    assert entry.may_run()
    entry.send()
    other.submit(request('r2'))
    other.run_cycle(START + 2)
    assert not other.may_run('r2')


def test_of_two_entries_only_the_first_in_the_log_runs():
    _, (first, second) = cluster()
    first.submit(request())
    second.submit(request())
    second.append()
    first.append()
    first.read()
    second.read()
    assert (first.may_run(), second.may_run()) == (False, True)
    second.send()
    second.answer()
    first.run_cycle()
    assert first.replayed_outcome() == ANSWER


def test_two_requests_with_one_key_at_one_entry_run_once():
    _, (entry, _) = cluster()
    entry.submit(request())
    entry.submit(request('r2'))
    entry.run_cycle()
    assert entry.may_run('r1')
    assert not entry.may_run('r2')
    entry.send()
    entry.answer()
    assert entry.replayed_outcome('r2') == ANSWER


def test_the_claim_of_a_paused_entry_is_not_taken_over():
    _, (paused, other) = cluster()
    submit_and_permit(paused, deadline_at=START + 1000)
    late = START + HOLDER_TIMEOUT_S + 5
    other.submit(request('r2', deadline_at=late + 3), late)
    other.run_cycle(late)
    other.run_cycle(late + 3)
    assert other.refusal_of('r2') == IN_USE
    other.submit(request('r3', deadline_at=late + 9), late + 5)
    assert other.refusal_of('r3') == UNKNOWN
    assert paused.send(now=late + 9)
    assert len(paused.sent_keys + other.sent_keys) == 1


def test_a_claimant_that_resumes_after_its_deadline_does_not_send():
    _, (paused, other) = cluster()
    submit_and_permit(paused)
    assert paused.send(now=START + 500).failure().run is RunState.NOT_RUN
    paused.run_cycle(START + 500)
    other.run_cycle(START + 500)
    other.submit(request('r2', deadline_at=START + 505), START + 501)
    other.run_cycle(START + 501)
    assert other.may_run('r2')


def test_an_old_try_does_not_run_after_a_later_one_was_refused_as_not_run():
    """The first entry is paused between a request's arrival and its append."""
    _, (paused, other, third) = cluster(3)
    paused.submit(request(deadline_at=START + 1000))
    submit_and_permit(other)
    refusal = other.claims.send_controller.release('r1').refusal
    assert refusal.run is RunState.NOT_RUN
    other.run_cycle()
    paused.run_cycle(START + 9)
    assert paused.refusal_of() == IN_USE
    third.run_cycle(START + 9)
    third.submit(request('r3', deadline_at=START + 12), START + 10)
    third.run_cycle(START + 10)
    assert third.may_run('r3')


@pytest.mark.parametrize('sent', [False, True])
def test_a_crashed_claimant_leaves_an_unknown_outcome(sent):
    _, (dead, other) = cluster()
    submit_and_permit(dead)
    if sent:
        dead.send()
    other.submit(request('r2'))
    other.run_cycle()
    other.run_cycle(START + 5)
    assert other.refusal_of('r2') == IN_USE


def test_a_lost_service_response_is_an_unknown_outcome_at_all_entries():
    _, (entry, other) = cluster()
    submit_and_permit(entry)
    entry.send()
    decision = entry.claims.send_controller.handle_lost_response('r1')
    assert decision.refusal.run is RunState.UNKNOWN
    entry.run_cycle()
    other.submit(request('r2'))
    other.run_cycle()
    assert other.refusal_of('r2') == UNKNOWN


def test_a_send_that_was_not_executed_may_be_repeated():
    _, (entry, _) = cluster()
    submit_and_permit(entry)
    entry.send()
    entry.claims.send_controller.handle_not_executed('r1')
    assert entry.send()


def test_a_claim_that_may_have_run_cannot_be_abandoned():
    _, (entry, _) = cluster()
    pending = PendingRequest(request(), 'c1', 0, may_have_run=True)
    with pytest.raises(InvariantViolation, match=Invariant.NOT_RUN_IS_ACCURATE):
        entry.claims.send_controller.abandon(
            pending, not_sent_in_time(RunState.NOT_RUN)
        )


def test_a_permitted_request_is_sent_during_a_log_outage():
    log, (entry, other) = cluster()
    submit_and_permit(entry)
    log.up = False
    entry.run_cycle(START + 1)
    assert entry.send(now=START + 1)
    entry.answer(now=START + 1)
    log.up = True
    entry.run_cycle(START + 5)
    other.submit(request('r2', deadline_at=START + 9), START + 6)
    other.run_cycle(START + 6)
    assert other.replayed_outcome('r2') == ANSWER


@pytest.mark.parametrize(
    ('first_try', 'run'),
    [(True, 'not_run'), (False, 'unknown')],
)
def test_a_log_outage_refuses_at_once_with_the_known_run_state(first_try, run):
    log, (entry, _) = cluster()
    log.up = False
    entry.submit(request(first_try=first_try))
    assert entry.refusal_of() == ('log_unavailable', run)
    assert entry.decisions['r1'].refusal.retry_after_s


def test_a_claim_in_flight_at_a_log_outage_is_released_later():
    log, (entry, other) = cluster()
    log.append_outcomes.append(AppendOutcome.ACK_LOST)
    entry.submit(request(first_try=True))
    entry.append()
    log.up = False
    entry.run_cycle(START + 1)
    assert entry.refusal_of() == ('log_unavailable', 'not_run')
    log.up = True
    entry.run_cycle(START + 5)
    assert not entry.may_run()
    other.run_cycle(START + 5)
    other.submit(request('r2', deadline_at=START + 9), START + 6)
    other.run_cycle(START + 6)
    assert other.may_run('r2')


def test_a_known_outcome_is_replayed_during_a_log_outage():
    log, (entry, _) = cluster()
    submit_and_permit(entry)
    entry.send()
    entry.answer()
    log.up = False
    entry.submit(request('r2'))
    assert entry.replayed_outcome('r2') == ANSWER


def test_an_expired_key_has_an_unknown_outcome():
    log, (entry, late) = cluster(retention_s=RETENTION_S)
    submit_and_permit(entry)
    entry.send()
    entry.answer()
    now = START + SETTINGS.key_lifetime_s + 1
    late.run_cycle(now)
    late.submit(request('r2', deadline_at=now + 3, first_try=True), now)
    assert late.refusal_of('r2') == UNKNOWN


def test_an_entry_that_starts_late_knows_every_accepted_key():
    log, (entry, late) = cluster(retention_s=RETENTION_S)
    submit_and_permit(entry)
    entry.send()
    entry.answer()
    now = START + SETTINGS.key_lifetime_s - 1
    late.submit(request('r2', deadline_at=now + 3), now)
    late.run_cycle(now)
    assert late.replayed_outcome('r2') == ANSWER


def test_a_clock_set_back_does_not_accept_an_expired_key():
    log, (entry, _) = cluster()
    submit_and_permit(entry)
    entry.send()
    entry.answer()
    entry.run_cycle(START + RETENTION_S)
    assert len(entry.claims.table) == 0
    entry.submit(request('r2'), START + 1)
    assert entry.refusal_of('r2') == UNKNOWN


def test_lost_records_make_outcomes_of_older_keys_unknown():
    log, (entry, other) = cluster()
    entry.read()
    submit_and_permit(other)
    other.send()
    log.streams['claims-0'].expire(START + 1)
    fresh = f'{int(START) + 200}-b'
    later = START + 201
    other.submit(request('r9', fresh, deadline_at=later + 9), later)
    other.append(later)
    entry.submit(request('r2'), START + 2)
    entry.run_cycle(later)
    assert entry.refusal_of('r2') == UNKNOWN
    newest = f'{int(START) + 300}-c'
    now = START + 300
    entry.submit(request('r3', newest, deadline_at=now + 9), now)
    entry.run_cycle(now)
    assert entry.may_run('r3')


# Guards against a second run of a request whose claim a restored log has lost.
def test_a_claim_that_a_restored_log_has_lost_causes_no_second_run():
    log, (entry, other) = cluster()
    other.read()
    submit_and_permit(entry)
    entry.send()
    log.restore(lost=1)
    other.submit(request('r2'), START + 1)
    for seconds in (1, 2, 3):
        other.run_cycle(START + seconds)
    assert other.sent_keys == []
    assert other.refusal_of('r2') == UNKNOWN


def test_an_entry_that_starts_after_a_restore_runs_only_later_keys():
    log, (entry, _) = cluster()
    submit_and_permit(entry)
    entry.send()
    log.restore(lost=1)
    started = Entry('started', log)
    started.read(START + 2)
    started.submit(request('r2'), START + 2)
    assert started.refusal_of('r2') == UNKNOWN
    newest = f'{int(START) + 300}-c'
    now = START + 300
    started.submit(request('r3', newest, deadline_at=now + 9), now)
    for _ in range(2):
        started.run_cycle(now)
    assert started.may_run('r3')


def test_a_key_of_a_different_request_is_refused():
    _, (entry, other) = cluster()
    submit_and_permit(entry)
    other.submit(request('r2', digest=b'other'))
    other.run_cycle()
    assert other.refusal_of('r2') == ('key_reused', 'not_run')


@pytest.mark.parametrize(
    ('key', 'refused'),
    [
        ('reel-7', ('key_required', 'not_run')),
        (f'{int(START) + 500}-a', ('bad_request', 'unknown')),
    ],
)
def test_a_key_without_a_valid_time_is_refused(key, refused):
    _, (entry, _) = cluster()
    entry.submit(request(key=key))
    assert entry.refusal_of() == refused


def test_a_retry_after_not_run_runs_under_the_same_key():
    _, (entry, _) = cluster()
    submit_and_permit(entry)
    entry.claims.send_controller.release('r1')
    entry.run_cycle()
    entry.submit(request('r2'))
    entry.run_cycle()
    assert entry.may_run('r2')


def test_a_request_is_sent_again_to_a_service_that_checks_keys():
    log, (dead, other) = cluster()
    submit_and_permit(dead, checks_key=True)
    dead.send()
    assert dead.claims.send_controller.handle_lost_response('r1')
    assert dead.send()
    dead.claims.send_controller.handle_not_executed('r1')
    refusal = dead.claims.send_controller.release('r1').refusal
    assert refusal.run is RunState.UNKNOWN
    other.submit(request('r2', checks_key=True))
    other.run_cycle(START + 3)
    assert other.may_run('r2')
    log.up = False
    other.submit(request('r3', checks_key=True, key=f'{KEY}b'))
    assert other.may_run('r3')


def test_a_large_response_is_recorded_as_run_without_its_body():
    _, (entry, other) = cluster()
    submit_and_permit(entry)
    entry.send()
    large = Outcome(RunState.RAN, 200, 'text/plain', b'x' * 5000)
    entry.claims.send_controller.record_outcome('r1', large)
    entry.run_cycle()
    other.submit(request('r2'))
    other.run_cycle()
    replayed = other.replayed_outcome('r2')
    assert (replayed.run, replayed.kept) == (RunState.RAN, False)


def test_entries_with_different_partition_counts_run_nothing():
    log, (entry, _) = cluster()
    other = Entry('other', log, cfg=ClaimSettings(2, RETENTION_S))
    submit_and_permit(other)
    entry.submit(request('r2', f'{KEY}b'))
    entry.run_cycle()
    assert entry.refusal_of('r2') == ('log_unavailable', 'unknown')


def test_simultaneous_claims_share_an_append():
    log, (entry, _) = cluster()
    for number in range(50):
        entry.submit(request(f'r{number}', f'{KEY}{number}'))
    entry.run_cycle()
    assert log.appends == 1
    assert sum(entry.may_run(f'r{number}') for number in range(50)) == 50


def test_only_the_holder_releases_its_key():
    log, (loser, holder, third) = cluster(3)
    log.append_outcomes.append(AppendOutcome.DELAYED)
    loser.submit(request())
    loser.append()
    submit_and_permit(holder)
    loser.record(loser.claims.step(START + 4, True))
    loser.run_cycle(START + 4)
    third.submit(request('r3'))
    third.run_cycle(START + 4)
    assert not third.may_run('r3')
    assert holder.send()


def test_only_the_holder_records_the_outcome():
    _, (holder, other) = cluster()
    submit_and_permit(holder)
    owner = KeyOwner('ward', KEY)
    other.claims.outbox.put(Done('someone:1', owner, ANSWER))
    other.run_cycle()
    assert other.claims.table.look_up(owner).outcome is None


def test_a_page_from_another_offset_skips_no_claim():
    log, (entry, other) = cluster()
    submit_and_permit(other)
    other.claims.send_controller.release('r1')
    other.run_cycle()
    later = log.read('claims-0', 1, START).unwrap()
    entry.claims.apply_page(START, later)
    assert entry.claims.table.next_offset == 0


def test_a_clock_behind_the_log_accepts_no_expired_key():
    _, (entry, other) = cluster()
    now = START + SETTINGS.key_lifetime_s + 1
    submit_and_permit(other, now, key=f'{int(now)}-n', deadline_at=now + 3)
    entry.run_cycle()
    entry.submit(request('r2'), START)
    assert entry.refusal_of('r2') == UNKNOWN


def test_a_second_request_at_one_entry_appends_no_claim():
    _, (entry, _) = cluster()
    entry.submit(request())
    entry.submit(request('r2'))
    assert len(entry.claims.outbox) == 1


def test_an_acknowledged_claim_that_was_not_read_is_released():
    log, (entry, _) = cluster()
    entry.submit(request())
    entry.append()
    log.up = False
    entry.record(entry.claims.step(START + 1, False))
    assert entry.refusal_of() == ('log_unavailable', 'unknown')
    assert len(entry.claims.outbox) == 1


def test_an_append_without_a_response_is_repeated():
    log, (entry, _) = cluster()
    entry.submit(request(deadline_at=START + 100))
    assert entry.claims.outbox.next_append(START)
    entry.run_cycle(START + APPEND_TIMEOUT_S)
    entry.run_cycle(START + APPEND_TIMEOUT_S + RETRY_DELAY_S)
    assert entry.may_run()


def test_an_old_abandon_does_not_decide_a_later_try():
    """The abandon is older than both tries, and one entry has not read it."""
    _, (lagging, other) = cluster()
    submit_and_permit(other)
    lagging.read()
    other.claims.send_controller.release('r1')
    other.run_cycle()
    other.submit(request('r2'))
    lagging.submit(request('r3'))
    lagging.read()
    assert lagging.refusal_of('r3') == IN_USE
    other.run_cycle()
    assert other.send('r2')


def test_sending_without_a_known_claim_breaks_the_invariant():
    _, (entry, _) = cluster()
    submit_and_permit(entry)
    entry.claims.table.expire(START + 1)
    with pytest.raises(InvariantViolation, match=Invariant.AT_MOST_ONCE):
        entry.send()


def test_an_unsent_claim_to_a_service_that_checks_keys_is_unknown():
    """An earlier try may have been sent without a claim during an outage."""
    entry = Entry('e', FakeLog())
    entry.submit(request(checks_key=True))
    entry.run_cycle()
    assert entry.may_run()
    assert entry.send(now=START + 3).failure().run is RunState.UNKNOWN
