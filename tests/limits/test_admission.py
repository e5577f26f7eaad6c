from collections import Counter

import pytest

from foxtailhatch.config.configuration import Account
from foxtailhatch.core import Caller, ErrorCode, RunState
from foxtailhatch.limits import AdmissionController, AdmissionLimits, Ticket


def ticket(name, account='crew', caller='ann', **fields):
    values = {'arrived_at': 0.0} | fields
    return Ticket(name, Caller(caller, account), **values)


def admission(running=1, waiting=100, wait_s=30.0, accounts=()):
    return AdmissionController(
        AdmissionLimits(running, waiting, wait_s),
        {account.name: account for account in accounts},
    )


def submit_all(controller, *tickets, now=0.0):
    return [controller.submit(each, now) for each in tickets]


def start_and_finish(controller, count, now=1.0):
    order = []
    for _ in range(count):
        for started in controller.start_ready(now):
            order.append(started)
            controller.finish(started.ticket_id, now)
    return order


def test_the_number_of_running_requests_is_limited():
    controller = admission(running=2)
    submit_all(controller, *(ticket(str(number)) for number in range(3)))
    assert [each.ticket_id for each in controller.start_ready(0)] == ['0', '1']
    controller.finish('0', 1)
    assert [each.ticket_id for each in controller.start_ready(1)] == ['2']


def test_a_higher_priority_starts_first():
    controller = admission()
    submit_all(controller, ticket('low'), ticket('high', priority=5))
    assert [each.ticket_id for each in start_and_finish(controller, 2)] == [
        'high',
        'low',
    ]


def test_accounts_share_by_weight_and_not_by_the_length_of_their_queues():
    controller = admission(accounts=[Account('small', 1), Account('large', 3)])
    submit_all(controller, *(ticket(f'l{i}', 'large') for i in range(60)))
    submit_all(controller, *(ticket(f's{i}', 'small') for i in range(20)))
    count = Counter(
        each.caller.account for each in start_and_finish(controller, 40)
    )
    assert count == {'large': 30, 'small': 10}


def test_callers_of_one_account_share_it_fairly():
    controller = admission()
    submit_all(controller, *(ticket(f'a{i}', caller='ann') for i in range(10)))
    submit_all(controller, ticket('b0', caller='bob'))
    assert 'b0' in [each.ticket_id for each in start_and_finish(controller, 2)]


def test_an_idle_account_earns_no_credit():
    controller = admission()
    submit_all(controller, *(ticket(f'a{i}', 'busy') for i in range(60)))
    start_and_finish(controller, 40)
    submit_all(controller, *(ticket(f'r{i}', 'rested') for i in range(20)))
    count = Counter(
        each.caller.account for each in start_and_finish(controller, 10)
    )
    assert count == {'busy': 5, 'rested': 5}


def test_an_account_is_charged_for_more_work_than_expected():
    controller = admission()
    submit_all(controller, ticket('long', 'greedy'))
    controller.start_ready(0)
    controller.finish('long', 1, work=4)
    submit_all(controller, *(ticket(f'g{i}', 'greedy') for i in range(4)))
    submit_all(controller, *(ticket(f'm{i}', 'modest') for i in range(4)))
    first = [each.caller.account for each in start_and_finish(controller, 3)]
    assert first == ['modest', 'modest', 'modest']


def test_a_full_queue_refuses_as_not_run_with_a_retry_time():
    controller = admission(waiting=2)
    *_, last = submit_all(controller, *(ticket(str(i)) for i in range(3)))
    refusal = last.failure()
    assert refusal.code is ErrorCode.QUEUE_FULL
    assert refusal.run is RunState.NOT_RUN
    assert refusal.retry_after_s > 0


def test_a_flooding_account_does_not_block_a_small_account_from_a_full_queue():
    controller = admission(waiting=3)
    submit_all(controller, *(ticket(f'f{i}', 'flood') for i in range(3)))
    queued = controller.submit(ticket('s', 'small'), 0.0).unwrap()
    assert [each.ticket.ticket_id for each in queued.evicted] == ['f2']
    assert queued.evicted[0].refusal.run is RunState.NOT_RUN
    assert len(controller.waiting) == 3


def test_a_high_priority_evicts_a_low_one_but_not_the_reverse():
    controller = admission(waiting=1)
    submit_all(controller, ticket('low'))
    queued = controller.submit(ticket('high', priority=1), 0.0).unwrap()
    assert queued.evicted[0].ticket.ticket_id == 'low'
    assert controller.submit(ticket('low-2', 'other'), 0.0).failure()


def test_a_deadline_that_cannot_be_met_is_refused_early():
    controller = admission()
    submit_all(controller, ticket('runs'))
    controller.start_ready(0.0)
    refusal = controller.submit(ticket('late', deadline=0.5), 0.0).failure()
    assert refusal.code is ErrorCode.DEADLINE
    assert refusal.retry_after_s > 0


def test_a_deadline_with_a_free_slot_is_accepted():
    assert admission().submit(ticket('soon', deadline=0.5), 0.0).unwrap()


@pytest.mark.parametrize('late', [{'deadline': 5.0}, {}])
def test_a_ticket_that_waits_too_long_is_refused_and_never_starts(late):
    controller = admission(wait_s=20)
    submit_all(controller, ticket('runs'))
    controller.start_ready(0.0)
    submit_all(controller, ticket('waits', **late))
    assert [each.ticket.ticket_id for each in controller.expire(21.0)] == [
        'waits'
    ]
    controller.finish('runs', 21.0)
    assert not controller.start_ready(21.0)


def test_a_cancelled_ticket_leaves_the_queue_at_once():
    controller = admission()
    submit_all(controller, ticket('gone'), ticket('stays'))
    controller.cancel('gone')
    assert len(controller.waiting) == 1
    assert [each.ticket_id for each in start_and_finish(controller, 2)] == [
        'stays'
    ]


def test_an_account_at_its_running_limit_does_not_block_others():
    controller = admission(running=4, accounts=[Account('crew', max_running=1)])
    submit_all(controller, ticket('1'), ticket('2'), ticket('3', 'other'))
    assert [each.ticket_id for each in controller.start_ready(0.0)] == [
        '1',
        '3',
    ]
    controller.finish('1', 1.0)
    assert [each.ticket_id for each in controller.start_ready(1.0)] == ['2']


def test_a_request_above_the_rate_limit_is_refused_with_a_retry_time():
    controller = admission(accounts=[Account('crew', requests_per_s=2)])
    *_, third = submit_all(controller, ticket('1'), ticket('2'), ticket('3'))
    assert third.failure().code is ErrorCode.RATE_LIMITED
    assert third.failure().retry_after_s == pytest.approx(0.5)
    assert controller.submit(ticket('4'), 0.5).unwrap()


def test_a_changed_rate_limit_applies_at_once():
    controller = admission(accounts=[Account('crew', requests_per_s=1)])
    submit_all(controller, ticket('1'))
    controller.accounts = {'crew': Account('crew', requests_per_s=10)}
    assert controller.submit(ticket('2'), 0.1).failure()
    assert controller.submit(ticket('2'), 0.2).unwrap()


def test_a_requeued_ticket_is_next_again_and_its_charge_is_refunded():
    controller = admission(running=1)
    submit_all(controller, ticket('1'), ticket('2'), ticket('3', 'other'))
    controller.start_ready(0.0)
    controller.requeue('1')
    assert not controller.running
    order = [each.ticket_id for each in start_and_finish(controller, 3)]
    assert order == ['1', '3', '2']
