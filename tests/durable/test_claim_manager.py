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

PARTITIONS = 4


def manager_of(name, partitions=range(PARTITIONS)):
    manager = ClaimManager(
        name, ClaimSettings(PARTITIONS, RETENTION_S), random.Random(1)
    )
    manager.follow(partitions)
    return manager


def carry_out(log, manager, now):
    decisions = []
    for action in manager.due_actions(now):
        if isinstance(action, AppendClaimBatch):
            if log.append(action.stream, action.body, now).value_or(-1) < 0:
                manager.handle_append_failure(
                    now, action, PlatformFault.NO_RESPONSE
                )
            else:
                manager.handle_append(now, action.stream, action.batch_id)
            continue
        page = log.read(action.stream, action.offset, now).value_or(None)
        if page is None:
            manager.handle_read_failure(now, action.stream)
        else:
            decisions += manager.handle_page(now, action.stream, page)
    return decisions + manager.step(now, log.up)


def run(log, manager, start=START, seconds=3):
    decisions = []
    for tenth in range(seconds * 10):
        decisions += carry_out(log, manager, start + tenth / 10)
    return decisions


def test_each_key_is_claimed_in_its_partition():
    log, first = FakeLog(), manager_of('one')
    for number in range(20):
        first.submit(
            START, request(f'r{number}', f'{int(START)}-{number}'), True
        )
    decisions = run(log, first)
    assert sorted(decision.request_id for decision in decisions) == sorted(
        f'r{number}' for number in range(20)
    )
    assert all(isinstance(decision, MayRun) for decision in decisions)
    assert len(log.streams) == PARTITIONS


def test_a_key_of_an_unfollowed_partition_is_not_submitted():
    req = request()
    partition = partition_of(req.owner.account, req.owner.key, PARTITIONS)
    other = manager_of(
        'one', [number for number in range(PARTITIONS) if number != partition]
    )
    assert other.submit(START, req, True) == NotFollowed(partition)
    other.follow([partition])
    assert other.submit(START, req, True) is None


def test_a_retry_at_another_entry_replays_the_first_outcome():
    log, first, second = FakeLog(), manager_of('one'), manager_of('two')
    first.submit(START, request(deadline_at=START + 9), True)
    run(log, first)
    assert first.authorize_send(START + 3, 'r1')
    first.record_outcome('r1', ANSWER)
    run(log, first, START + 3)
    assert first.pending_record_count == 0
    second.submit(START + 6, request('r2', deadline_at=START + 9), True)
    assert run(log, second, START + 6)[0].outcome == ANSWER


def test_few_partitions_are_reassigned_when_an_entry_leaves():
    entries = [f'entry-{number}' for number in range(30)]
    before = [
        set(partition_readers(partition, entries, 3))
        for partition in range(120)
    ]
    after = [
        set(partition_readers(partition, entries[1:], 3))
        for partition in range(120)
    ]
    moved = [
        first - second for first, second in zip(before, after, strict=True)
    ]
    assert all(removed <= {'entry-0'} for removed in moved)
    assert 0 < sum(map(len, moved)) < 120 * 3 / 30 * 3
