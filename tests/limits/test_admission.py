from collections import Counter

import pytest

from foxtailhatch.config.configuration import Account
from foxtailhatch.core import Caller, ErrorCode, RunState
from foxtailhatch.limits import AdmissionController, AdmissionLimits, Ticket


def ticket(name, account='crew', caller='ann', **fields):
    wanted = {'arrived_at': 0.0} | fields
    return Ticket(name, Caller(caller, account), **wanted)


def admission(running=1, waiting=100, wait_s=30.0, accounts=()):
    return AdmissionController(
        AdmissionLimits(running, waiting, wait_s),
        {account.name: account for account in accounts},
    )


def offered(into, *tickets, now=0.0):
    return [into.submit(each, now) for each in tickets]


def served(queue, count, now=1.0):
    order = []
    for _ in range(count):
        for started in queue.start_ready(now):
            order.append(started)
            queue.finish(started.ticket_id, now)
    return order


def test_no_more_than_the_bound_run():
    queue = admission(running=2)
    offered(queue, *(ticket(str(number)) for number in range(3)))
    assert [each.ticket_id for each in queue.start_ready(0)] == ['0', '1']
    queue.finish('0', 1)
    assert [each.ticket_id for each in queue.start_ready(1)] == ['2']


def test_a_higher_priority_goes_first():
    queue = admission()
    offered(queue, ticket('low'), ticket('high', priority=5))
    assert [each.ticket_id for each in served(queue, 2)] == ['high', 'low']


def test_accounts_share_by_weight_and_not_by_the_length_of_their_queues():
    queue = admission(accounts=[Account('small', 1), Account('large', 3)])
    offered(queue, *(ticket(f'l{i}', 'large') for i in range(60)))
    offered(queue, *(ticket(f's{i}', 'small') for i in range(20)))
    count = Counter(each.caller.account for each in served(queue, 40))
    assert count == {'large': 30, 'small': 10}


def test_callers_of_one_account_take_turns():
    queue = admission()
    offered(queue, *(ticket(f'a{i}', caller='ann') for i in range(10)))
    offered(queue, ticket('b0', caller='bob'))
    assert 'b0' in [each.ticket_id for each in served(queue, 2)]


def test_an_account_that_rested_gets_no_credit_for_it():
    queue = admission()
    offered(queue, *(ticket(f'a{i}', 'busy') for i in range(60)))
    served(queue, 40)
    offered(queue, *(ticket(f'r{i}', 'rested') for i in range(20)))
    count = Counter(each.caller.account for each in served(queue, 10))
    assert count == {'busy': 5, 'rested': 5}


def test_an_account_pays_for_work_beyond_what_was_expected():
    queue = admission()
    offered(queue, ticket('long', 'greedy'))
    queue.start_ready(0)
    queue.finish('long', 1, work=4)
    offered(queue, *(ticket(f'g{i}', 'greedy') for i in range(4)))
    offered(queue, *(ticket(f'm{i}', 'modest') for i in range(4)))
    first = [each.caller.account for each in served(queue, 3)]
    assert first == ['modest', 'modest', 'modest']


def test_a_full_queue_refuses_as_not_run_with_a_retry_time():
    queue = admission(waiting=2)
    *_, last = offered(queue, *(ticket(str(i)) for i in range(3)))
    refusal = last.failure()
    assert refusal.code is ErrorCode.QUEUE_FULL
    assert refusal.run is RunState.NOT_RUN
    assert refusal.retry_after_s > 0


def test_a_flood_does_not_keep_a_small_account_out_of_a_full_queue():
    queue = admission(waiting=3)
    offered(queue, *(ticket(f'f{i}', 'flood') for i in range(3)))
    queued = queue.submit(ticket('s', 'small'), 0.0).unwrap()
    assert [each.ticket.ticket_id for each in queued.evicted] == ['f2']
    assert queued.evicted[0].refusal.run is RunState.NOT_RUN
    assert len(queue.waiting) == 3


def test_a_high_priority_displaces_a_low_one_but_not_the_reverse():
    queue = admission(waiting=1)
    offered(queue, ticket('low'))
    queued = queue.submit(ticket('high', priority=1), 0.0).unwrap()
    assert queued.evicted[0].ticket.ticket_id == 'low'
    assert queue.submit(ticket('low-2', 'other'), 0.0).failure()


def test_a_deadline_that_cannot_be_met_is_refused_early():
    queue = admission()
    offered(queue, ticket('runs'))
    queue.start_ready(0.0)
    refusal = queue.submit(ticket('late', deadline=0.5), 0.0).failure()
    assert refusal.code is ErrorCode.DEADLINE
    assert refusal.retry_after_s > 0


def test_a_deadline_with_a_free_place_is_accepted():
    assert admission().submit(ticket('soon', deadline=0.5), 0.0).unwrap()


@pytest.mark.parametrize('late', [{'deadline': 5.0}, {}])
def test_a_ticket_that_waits_too_long_is_refused_and_never_starts(late):
    queue = admission(wait_s=20)
    offered(queue, ticket('runs'))
    queue.start_ready(0.0)
    offered(queue, ticket('waits', **late))
    assert [each.ticket.ticket_id for each in queue.expire(21.0)] == ['waits']
    queue.finish('runs', 21.0)
    assert not queue.start_ready(21.0)


def test_a_withdrawn_ticket_leaves_at_once():
    queue = admission()
    offered(queue, ticket('gone'), ticket('stays'))
    queue.cancel('gone')
    assert len(queue.waiting) == 1
    assert [each.ticket_id for each in served(queue, 2)] == ['stays']


def test_an_account_at_its_running_limit_lets_others_pass():
    queue = admission(running=4, accounts=[Account('crew', max_running=1)])
    offered(queue, ticket('1'), ticket('2'), ticket('3', 'other'))
    assert [each.ticket_id for each in queue.start_ready(0.0)] == ['1', '3']
    queue.finish('1', 1.0)
    assert [each.ticket_id for each in queue.start_ready(1.0)] == ['2']


def test_a_rate_above_the_limit_is_refused_with_the_time_to_wait():
    queue = admission(accounts=[Account('crew', requests_per_s=2)])
    *_, third = offered(queue, ticket('1'), ticket('2'), ticket('3'))
    assert third.failure().code is ErrorCode.RATE_LIMITED
    assert third.failure().retry_after_s == pytest.approx(0.5)
    assert queue.submit(ticket('4'), 0.5).unwrap()


def test_a_changed_rate_is_in_force_at_once():
    queue = admission(accounts=[Account('crew', requests_per_s=1)])
    offered(queue, ticket('1'))
    queue.accounts = {'crew': Account('crew', requests_per_s=10)}
    assert queue.submit(ticket('2'), 0.1).failure()
    assert queue.submit(ticket('2'), 0.2).unwrap()


def test_a_ticket_put_back_is_next_again_and_costs_nothing():
    queue = admission(running=1)
    offered(queue, ticket('1'), ticket('2'), ticket('3', 'other'))
    queue.start_ready(0.0)
    queue.requeue('1')
    assert not queue.running
    order = [each.ticket_id for each in served(queue, 3)]
    assert order == ['1', '3', '2']
