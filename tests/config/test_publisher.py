import pytest

from foxtailhatch.config.configuration import Account, Configuration
from foxtailhatch.config.documents import render_configuration
from foxtailhatch.config.publisher import (
    Conflicted,
    InvalidConfiguration,
    NotPublished,
    PublicationUnknown,
    Published,
    start_publication,
)
from foxtailhatch.durable.append_attempt import APPEND_TIMEOUT_S, AppendRecord
from foxtailhatch.outside import PlatformFault
from tests.config.stream import catch_up, publication, put, read_all
from tests.durable.fake_log import AppendOutcome, FakeLog


def document(name):
    return render_configuration(
        Configuration(0, accounts=(Account(name),)),
    )


def drive(log, fold, attempt, until=60, start=0):
    """Carry out an attempt second by second until it has an outcome."""
    for now in range(start, until):
        step = attempt.step(now, fold)
        if isinstance(step, AppendRecord):
            answer = log.append(step.stream, step.body, now)
            answer.map(
                lambda _, now=now: attempt.append.handle_acknowledgement(now)
            )
            answer.alt(
                lambda error, now=now: attempt.append.handle_failure(
                    now, error.fault
                ),
            )
        elif step is not None:
            return step
        if log.up:
            catch_up(fold, log, now)
    return None


@pytest.mark.parametrize('fate', list(AppendOutcome))
def test_a_lost_acknowledgement_never_publishes_twice(fate):
    log = FakeLog()
    log.append_outcomes.extend([fate, fate])
    fold, _ = read_all(log)
    attempt = start_publication(0, fold, document('a'), 0, 'id').unwrap()
    assert drive(log, fold, attempt).unwrap() == Published(1)
    log.apply_delayed(60)
    catch_up(fold, log, 60)
    assert fold.version == 1


def test_the_loser_is_told_the_difference():
    log = FakeLog()
    put(log, publication(1, 'a'))
    fold, _ = read_all(log)
    attempt = start_publication(0, fold, document('c'), 1, 'id').unwrap()
    put(log, publication(2, 'b'))
    conflict = drive(log, fold, attempt).failure()
    assert isinstance(conflict, Conflicted)
    assert [line.name for line in conflict.difference] == ['b', 'c']
    assert fold.version == 2


def test_a_fault_is_told_before_anything_is_appended():
    log = FakeLog()
    fold, _ = read_all(log)
    failure = start_publication(0, fold, b'{"acounts": []}', 0, 'id').failure()
    assert isinstance(failure, InvalidConfiguration)
    assert log.appends == 0


def test_an_outage_is_told_from_an_unknown_end():
    log = FakeLog(up=False)
    fold, _ = read_all(FakeLog())
    attempt = start_publication(0, fold, document('a'), 0, 'id').unwrap()
    assert drive(log, fold, attempt).failure() == NotPublished()
    attempt = start_publication(0, fold, document('a'), 0, 'id').unwrap()
    attempt.append.handle_failure(0, PlatformFault.NO_RESPONSE)
    assert drive(log, fold, attempt).failure() == PublicationUnknown('id')


def test_asking_again_with_the_same_id_tells_the_first_decision():
    log = FakeLog()
    put(log, publication(1, 'a'), publication(2, 'b'))
    fold, _ = read_all(log)
    attempt = start_publication(0, fold, document('a'), 0, '1-a').unwrap()
    assert drive(log, fold, attempt).unwrap() == Published(1)
    assert log.appends == 2


def test_a_reader_that_lags_leaves_the_decision_to_the_log():
    log = FakeLog()
    put(log, publication(1, 'a'))
    lagging = read_all(FakeLog())[0]
    wanted = document('x' * 100)
    attempt = start_publication(0, lagging, wanted, 1, 'id').unwrap()
    assert drive(log, lagging, attempt).unwrap() == Published(2)
    assert render_configuration(lagging.in_force) == wanted


def test_a_change_is_published_as_small_as_it_is():
    log = FakeLog()
    put(log, publication(1, 'a' * 200))
    fold, _ = read_all(log)
    cfg = fold.in_force
    wanted = render_configuration(
        Configuration(0, accounts=(*cfg.accounts, Account('b'))),
    )
    attempt = start_publication(0, fold, wanted, 1, 'id').unwrap()
    assert len(attempt.append.record.body) < len(wanted)
    assert drive(log, fold, attempt).unwrap() == Published(2)
    assert render_configuration(fold.in_force) == wanted


def test_an_append_that_is_never_answered_is_made_again():
    fold = read_all(FakeLog())[0]
    attempt = start_publication(0, fold, document('a'), 0, 'id').unwrap()
    assert attempt.step(0, fold) == attempt.append.record
    assert attempt.step(APPEND_TIMEOUT_S - 1, fold) is None
    assert attempt.step(APPEND_TIMEOUT_S, fold) == attempt.append.record
