import random

from foxtailhatch.durable.claim_manager import (
    AppendClaimBatch,
    ClaimManager,
    NotFollowed,
)
from foxtailhatch.durable.claim_requests import MayRun
from foxtailhatch.durable.claim_settings import ClaimSettings
from foxtailhatch.durable.keys import partition_of, partition_readers
from foxtailhatch.outside import PlatformFault
from tests.durable.claim_fixtures import ANSWER, RETENTION_S, START, request
from tests.durable.fake_log import FakeLog

PARTS = 4


def desk(name, partitions=range(PARTS)):
    made = ClaimManager(
        name, ClaimSettings(PARTS, RETENTION_S), random.Random(1)
    )
    made.follow(partitions)
    return made


def carry_out(log, made, now):
    decisions = []
    for action in made.due_actions(now):
        if isinstance(action, AppendClaimBatch):
            if log.append(action.stream, action.body, now).value_or(-1) < 0:
                made.handle_append_failure(now, action, PlatformFault.NO_RESPONSE)
            else:
                made.handle_append(now, action.stream, action.batch_id)
            continue
        page = log.read(action.stream, action.offset, now).value_or(None)
        if page is None:
            made.handle_read_failure(now, action.stream)
        else:
            decisions += made.handle_page(now, action.stream, page)
    return decisions + made.step(now, log.up)


def run(log, made, start=START, seconds=3):
    decisions = []
    for tenth in range(seconds * 10):
        decisions += carry_out(log, made, start + tenth / 10)
    return decisions


def test_each_key_is_claimed_in_its_part():
    log, one = FakeLog(), desk('one')
    for number in range(20):
        one.submit(START, request(f'r{number}', f'{int(START)}-{number}'), True)
    decisions = run(log, one)
    assert sorted(found.request_id for found in decisions) == sorted(
        f'r{number}' for number in range(20)
    )
    assert all(isinstance(found, MayRun) for found in decisions)
    assert len(log.streams) == PARTS


def test_a_key_of_another_part_is_sent_on():
    req = request()
    partition = partition_of(req.owner.account, req.owner.key, PARTS)
    other = desk(
        'one', [number for number in range(PARTS) if number != partition]
    )
    assert other.submit(START, req, True) == NotFollowed(partition)
    other.follow([partition])
    assert other.submit(START, req, True) is None


def test_a_second_try_at_another_entry_gets_the_first_answer():
    log, one, two = FakeLog(), desk('one'), desk('two')
    one.submit(START, request(deadline_at=START + 9), True)
    run(log, one)
    assert one.authorise_send(START + 3, 'r1')
    one.record_outcome('r1', ANSWER)
    run(log, one, START + 3)
    assert one.pending_record_count == 0
    two.submit(START + 6, request('r2', deadline_at=START + 9), True)
    assert run(log, two, START + 6)[0].outcome == ANSWER


def test_few_parts_move_when_an_entry_leaves():
    entries = [f'entry-{number}' for number in range(30)]
    before = [
        set(partition_readers(partition, entries, 3))
        for partition in range(120)
    ]
    after = [
        set(partition_readers(partition, entries[1:], 3))
        for partition in range(120)
    ]
    moved = [one - two for one, two in zip(before, after, strict=True)]
    assert all(gone <= {'entry-0'} for gone in moved)
    assert 0 < sum(map(len, moved)) < 120 * 3 / 30 * 3
