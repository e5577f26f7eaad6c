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
from tests.config.stream import append_records, catch_up, publication, read_all
from tests.durable.fake_log import AppendOutcome, FakeLog


def document(name):
    return render_configuration(
        Configuration(0, accounts=(Account(name),)),
    )


def drive(log, fold, attempt, until=60, start=0):
    """Run an attempt in steps of one second until it has an outcome."""
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


def test_a_conflict_reports_the_difference():
    log = FakeLog()
    append_records(log, publication(1, 'a'))
    fold, _ = read_all(log)
    attempt = start_publication(0, fold, document('c'), 1, 'id').unwrap()
    append_records(log, publication(2, 'b'))
    conflict = drive(log, fold, attempt).failure()
    assert isinstance(conflict, Conflicted)
    assert [line.name for line in conflict.difference] == ['b', 'c']
    assert fold.version == 2


def test_an_invalid_document_is_rejected_without_an_append():
    log = FakeLog()
    fold, _ = read_all(log)
    failure = start_publication(0, fold, b'{"acounts": []}', 0, 'id').failure()
    assert isinstance(failure, InvalidConfiguration)
    assert log.appends == 0


def test_an_unreachable_log_is_distinguished_from_an_unknown_outcome():
    log = FakeLog(up=False)
    fold, _ = read_all(FakeLog())
    attempt = start_publication(0, fold, document('a'), 0, 'id').unwrap()
    assert drive(log, fold, attempt).failure() == NotPublished()
    attempt = start_publication(0, fold, document('a'), 0, 'id').unwrap()
    attempt.append.handle_failure(0, PlatformFault.NO_RESPONSE)
    assert drive(log, fold, attempt).failure() == PublicationUnknown('id')


def test_a_retry_with_the_same_id_reports_the_first_decision():
    log = FakeLog()
    append_records(log, publication(1, 'a'), publication(2, 'b'))
    fold, _ = read_all(log)
    attempt = start_publication(0, fold, document('a'), 0, '1-a').unwrap()
    assert drive(log, fold, attempt).unwrap() == Published(1)
    assert log.appends == 2


def test_a_lagging_reader_publishes_and_the_log_decides():
    log = FakeLog()
    append_records(log, publication(1, 'a'))
    lagging = read_all(FakeLog())[0]
    proposed = document('x' * 100)
    attempt = start_publication(0, lagging, proposed, 1, 'id').unwrap()
    assert drive(log, lagging, attempt).unwrap() == Published(2)
    assert render_configuration(lagging.in_force) == proposed


def test_a_small_change_is_published_as_a_difference():
    log = FakeLog()
    append_records(log, publication(1, 'a' * 200))
    fold, _ = read_all(log)
    cfg = fold.in_force
    proposed = render_configuration(
        Configuration(0, accounts=(*cfg.accounts, Account('b'))),
    )
    attempt = start_publication(0, fold, proposed, 1, 'id').unwrap()
    assert len(attempt.append.record.body) < len(proposed)
    assert drive(log, fold, attempt).unwrap() == Published(2)
    assert render_configuration(fold.in_force) == proposed


def test_an_append_without_a_response_is_retried():
    fold = read_all(FakeLog())[0]
    attempt = start_publication(0, fold, document('a'), 0, 'id').unwrap()
    assert attempt.step(0, fold) == attempt.append.record
    assert attempt.step(APPEND_TIMEOUT_S - 1, fold) is None
    assert attempt.step(APPEND_TIMEOUT_S, fold) == attempt.append.record
