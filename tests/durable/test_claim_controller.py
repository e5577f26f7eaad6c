"""Each trap on the way to running a request at most once."""

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


def held(entry, now=START, **more):
    entry.submit(request(**more), now)
    entry.turn(now)
    assert entry.may_run()


def test_nothing_is_sent_before_the_claim_is_read_back():
    _, (entry, _) = cluster()
    entry.submit(request())
    entry.append()
    assert not entry.told
    assert entry.send().failure().run is RunState.UNKNOWN
    entry.read()
    assert entry.send().unwrap().fence == 0


@pytest.mark.parametrize('fate', list(AppendOutcome))
def test_a_lost_answer_of_an_append_never_runs_twice(fate):
    log, (entry, other) = cluster()
    log.append_outcomes.append(fate)
    entry.submit(request())
    entry.turn()
    log.apply_delayed(START + 0.5)
    entry.turn(START + 1)
    entry.turn(START + 2)
    assert entry.may_run()
    entry.send()
    other.submit(request('r2'))
    other.turn(START + 2)
    assert not other.may_run('r2')


def test_of_two_entries_only_the_first_in_the_log_runs():
    _, (one, two) = cluster()
    one.submit(request())
    two.submit(request())
    two.append()
    one.append()
    one.read()
    two.read()
    assert (one.may_run(), two.may_run()) == (False, True)
    two.send()
    two.answer()
    one.turn()
    assert one.replayed() == ANSWER


def test_two_requests_with_one_key_at_one_entry_run_once():
    _, (entry, _) = cluster()
    entry.submit(request())
    entry.submit(request('r2'))
    entry.turn()
    assert entry.may_run('r1')
    assert not entry.may_run('r2')
    entry.send()
    entry.answer()
    assert entry.replayed('r2') == ANSWER


def test_nobody_takes_over_from_a_paused_claimant():
    _, (paused, other) = cluster()
    held(paused, deadline_at=START + 1000)
    late = START + HOLDER_TIMEOUT_S + 5
    other.submit(request('r2', deadline_at=late + 3), late)
    other.turn(late)
    other.turn(late + 3)
    assert other.refused('r2') == IN_USE
    other.submit(request('r3', deadline_at=late + 9), late + 5)
    assert other.refused('r3') == UNKNOWN
    assert paused.send(now=late + 9)
    assert len(paused.ran + other.ran) == 1


def test_a_claimant_that_wakes_after_its_deadline_does_not_send():
    _, (paused, other) = cluster()
    held(paused)
    assert paused.send(now=START + 500).failure().run is RunState.NOT_RUN
    paused.turn(START + 500)
    other.turn(START + 500)
    other.submit(request('r2', deadline_at=START + 505), START + 501)
    other.turn(START + 501)
    assert other.may_run('r2')


def test_an_old_try_never_runs_after_a_later_one_was_called_not_run():
    """The first entry is paused between the arrival and its append."""
    _, (paused, other, third) = cluster(3)
    paused.submit(request(deadline_at=START + 1000))
    held(other)
    told = other.claims.send_controller.release('r1').refusal
    assert told.run is RunState.NOT_RUN
    other.turn()
    paused.turn(START + 9)
    assert paused.refused() == IN_USE
    third.turn(START + 9)
    third.submit(request('r3', deadline_at=START + 12), START + 10)
    third.turn(START + 10)
    assert third.may_run('r3')


@pytest.mark.parametrize('sent', [False, True])
def test_a_dead_claimant_leaves_an_unknown_outcome(sent):
    _, (dead, other) = cluster()
    held(dead)
    if sent:
        dead.send()
    other.submit(request('r2'))
    other.turn()
    other.turn(START + 5)
    assert other.refused('r2') == IN_USE


def test_a_lost_answer_of_the_service_is_unknown_everywhere():
    _, (entry, other) = cluster()
    held(entry)
    entry.send()
    decision = entry.claims.send_controller.handle_lost_response('r1')
    assert decision.refusal.run is RunState.UNKNOWN
    entry.turn()
    other.submit(request('r2'))
    other.turn()
    assert other.refused('r2') == UNKNOWN


def test_a_send_that_was_not_carried_out_may_be_repeated():
    _, (entry, _) = cluster()
    held(entry)
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


def test_a_held_claim_is_sent_although_the_log_goes_down():
    log, (entry, other) = cluster()
    held(entry)
    log.up = False
    entry.turn(START + 1)
    assert entry.send(now=START + 1)
    entry.answer(now=START + 1)
    log.up = True
    entry.turn(START + 5)
    other.submit(request('r2', deadline_at=START + 9), START + 6)
    other.turn(START + 6)
    assert other.replayed('r2') == ANSWER


@pytest.mark.parametrize(
    ('first_try', 'run'),
    [(True, 'not_run'), (False, 'unknown')],
)
def test_an_outage_refuses_at_once_and_tells_only_what_is_known(first_try, run):
    log, (entry, _) = cluster()
    log.up = False
    entry.submit(request(first_try=first_try))
    assert entry.refused() == ('log_unavailable', run)
    assert entry.told['r1'].refusal.retry_after_s


def test_a_claim_in_flight_when_the_log_goes_down_is_freed_later():
    log, (entry, other) = cluster()
    log.append_outcomes.append(AppendOutcome.ACK_LOST)
    entry.submit(request(first_try=True))
    entry.append()
    log.up = False
    entry.turn(START + 1)
    assert entry.refused() == ('log_unavailable', 'not_run')
    log.up = True
    entry.turn(START + 5)
    assert not entry.may_run()
    other.turn(START + 5)
    other.submit(request('r2', deadline_at=START + 9), START + 6)
    other.turn(START + 6)
    assert other.may_run('r2')


def test_a_known_outcome_is_told_while_the_log_is_down():
    log, (entry, _) = cluster()
    held(entry)
    entry.send()
    entry.answer()
    log.up = False
    entry.submit(request('r2'))
    assert entry.replayed('r2') == ANSWER


def test_a_key_that_outlived_the_window_is_unknown_not_unrun():
    log, (entry, late) = cluster(retention_s=RETENTION_S)
    held(entry)
    entry.send()
    entry.answer()
    now = START + SETTINGS.key_lifetime_s + 1
    late.turn(now)
    late.submit(request('r2', deadline_at=now + 3, first_try=True), now)
    assert late.refused('r2') == UNKNOWN


def test_every_accepted_key_is_known_to_an_entry_that_starts_late():
    log, (entry, late) = cluster(retention_s=RETENTION_S)
    held(entry)
    entry.send()
    entry.answer()
    now = START + SETTINGS.key_lifetime_s - 1
    late.submit(request('r2', deadline_at=now + 3), now)
    late.turn(now)
    assert late.replayed('r2') == ANSWER


def test_a_clock_set_back_does_not_revive_a_forgotten_key():
    log, (entry, _) = cluster()
    held(entry)
    entry.send()
    entry.answer()
    entry.turn(START + RETENTION_S)
    assert len(entry.claims.table) == 0
    entry.submit(request('r2'), START + 1)
    assert entry.refused('r2') == UNKNOWN


def test_lost_records_make_keys_of_their_time_unknown():
    log, (entry, other) = cluster()
    entry.read()
    held(other)
    other.send()
    log.streams['claims-0'].expire(START + 1)
    fresh = f'{int(START) + 200}-b'
    later = START + 201
    other.submit(request('r9', fresh, deadline_at=later + 9), later)
    other.append(later)
    entry.submit(request('r2'), START + 2)
    entry.turn(later)
    assert entry.refused('r2') == UNKNOWN
    newest = f'{int(START) + 300}-c'
    now = START + 300
    entry.submit(request('r3', newest, deadline_at=now + 9), now)
    entry.turn(now)
    assert entry.may_run('r3')


def test_a_key_of_another_request_is_refused():
    _, (entry, other) = cluster()
    held(entry)
    other.submit(request('r2', digest=b'other'))
    other.turn()
    assert other.refused('r2') == ('key_reused', 'not_run')


@pytest.mark.parametrize(
    ('key', 'refused'),
    [
        ('reel-7', ('key_required', 'not_run')),
        (f'{int(START) + 500}-a', ('bad_request', 'unknown')),
    ],
)
def test_a_key_must_tell_its_time(key, refused):
    _, (entry, _) = cluster()
    entry.submit(request(key=key))
    assert entry.refused() == refused


def test_a_try_after_not_run_runs_under_the_same_key():
    _, (entry, _) = cluster()
    held(entry)
    entry.claims.send_controller.release('r1')
    entry.turn()
    entry.submit(request('r2'))
    entry.turn()
    assert entry.may_run('r2')


def test_a_service_that_checks_keys_may_be_asked_again():
    log, (dead, other) = cluster()
    held(dead, checks_key=True)
    dead.send()
    assert dead.claims.send_controller.handle_lost_response('r1')
    assert dead.send()
    dead.claims.send_controller.handle_not_executed('r1')
    told = dead.claims.send_controller.release('r1').refusal
    assert told.run is RunState.UNKNOWN
    other.submit(request('r2', checks_key=True))
    other.turn(START + 3)
    assert other.may_run('r2')
    log.up = False
    other.submit(request('r3', checks_key=True, key=f'{KEY}b'))
    assert other.may_run('r3')


def test_a_large_answer_is_told_as_run_but_not_kept():
    _, (entry, other) = cluster()
    held(entry)
    entry.send()
    large = Outcome(RunState.RAN, 200, 'text/plain', b'x' * 5000)
    entry.claims.send_controller.record_outcome('r1', large)
    entry.turn()
    other.submit(request('r2'))
    other.turn()
    replayed = other.replayed('r2')
    assert (replayed.run, replayed.kept) == (RunState.RAN, False)


def test_entries_that_split_keys_differently_run_nothing():
    log, (entry, _) = cluster()
    other = Entry('other', log, cfg=ClaimSettings(2, RETENTION_S))
    held(other)
    entry.submit(request('r2', f'{KEY}b'))
    entry.turn()
    assert entry.refused('r2') == ('log_unavailable', 'unknown')


def test_claims_of_one_moment_share_an_append():
    log, (entry, _) = cluster()
    for number in range(50):
        entry.submit(request(f'r{number}', f'{KEY}{number}'))
    entry.turn()
    assert log.appends == 1
    assert sum(entry.may_run(f'r{number}') for number in range(50)) == 50


def test_only_the_holder_frees_its_key():
    log, (loser, holder, third) = cluster(3)
    log.append_outcomes.append(AppendOutcome.DELAYED)
    loser.submit(request())
    loser.append()
    held(holder)
    loser.note(loser.claims.step(START + 4, True))
    loser.turn(START + 4)
    third.submit(request('r3'))
    third.turn(START + 4)
    assert not third.may_run('r3')
    assert holder.send()


def test_only_the_holder_tells_the_outcome():
    _, (holder, other) = cluster()
    held(holder)
    owner = KeyOwner('ward', KEY)
    other.claims.outbox.put(Done('someone:1', owner, ANSWER))
    other.turn()
    assert other.claims.table.look_up(owner).outcome is None


def test_a_page_read_from_elsewhere_skips_no_claim():
    log, (entry, other) = cluster()
    held(other)
    other.claims.send_controller.release('r1')
    other.turn()
    later = log.read('claims-0', 1, START).unwrap()
    entry.claims.apply_page(START, later)
    assert entry.claims.table.next_offset == 0


def test_a_clock_that_lags_behind_the_log_accepts_no_old_key():
    _, (entry, other) = cluster()
    now = START + SETTINGS.key_lifetime_s + 1
    held(other, now, key=f'{int(now)}-n', deadline_at=now + 3)
    entry.turn()
    entry.submit(request('r2'), START)
    assert entry.refused('r2') == UNKNOWN


def test_a_second_request_at_one_entry_makes_no_claim_of_its_own():
    _, (entry, _) = cluster()
    entry.submit(request())
    entry.submit(request('r2'))
    assert len(entry.claims.outbox) == 1


def test_an_acknowledged_claim_that_was_not_read_is_freed():
    log, (entry, _) = cluster()
    entry.submit(request())
    entry.append()
    log.up = False
    entry.note(entry.claims.step(START + 1, False))
    assert entry.refused() == ('log_unavailable', 'unknown')
    assert len(entry.claims.outbox) == 1


def test_an_append_without_an_answer_is_made_again():
    log, (entry, _) = cluster()
    entry.submit(request(deadline_at=START + 100))
    assert entry.claims.outbox.next_append(START)
    entry.turn(START + APPEND_TIMEOUT_S)
    entry.turn(START + APPEND_TIMEOUT_S + RETRY_DELAY_S)
    assert entry.may_run()


def test_a_stale_abandon_does_not_speak_for_a_try_before_this_one():
    """The abandon is older than both tries, and only one has read it."""
    _, (lagging, other) = cluster()
    held(other)
    lagging.read()
    other.claims.send_controller.release('r1')
    other.turn()
    other.submit(request('r2'))
    lagging.submit(request('r3'))
    lagging.read()
    assert lagging.refused('r3') == IN_USE
    other.turn()
    assert other.send('r2')


def test_a_send_without_a_known_claim_breaks_the_invariant():
    _, (entry, _) = cluster()
    held(entry)
    entry.claims.table.expire(START + 1)
    with pytest.raises(InvariantViolation, match=Invariant.AT_MOST_ONCE):
        entry.send()


def test_a_late_claim_to_a_service_that_checks_keys_is_not_called_not_run():
    """An earlier try may have been sent without a claim."""
    entry = Entry('e', FakeLog())
    entry.submit(request(checks_key=True))
    entry.turn()
    assert entry.may_run()
    assert entry.send(now=START + 3).failure().run is RunState.UNKNOWN
