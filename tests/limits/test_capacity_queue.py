"""Order, bounds and estimates of requests that wait for capacity."""

from collections import Counter
from itertools import pairwise
from random import Random

import pytest

from foxtailhatch.limits.capacity_queue import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    CapacityQueue,
    WaitingRequest,
)

TARGET_S = 1.0


def waiting(
    name='q', rank=0, account='a', tokens=100, body=0, at=0.0, until=TARGET_S
):
    return WaitingRequest(name, rank, account, tokens, body, at, at + until)


def names(queue):
    return [req.request_id for req in queue.in_order()]


def test_urgent_requests_go_first_and_then_the_oldest():
    queue = CapacityQueue()
    for name, rank, at in (('c', 1, 0.0), ('b', 0, 0.2), ('a', 0, 0.1)):
        queue.enter(waiting(name, rank, at=at), 0.2)
    assert names(queue) == ['a', 'b', 'c']


def test_accounts_take_turns_by_tokens():
    queue = CapacityQueue()
    for number in range(3):
        queue.enter(waiting(f'large{number}', account='large'), 0.01 * number)
    queue.enter(waiting('small', account='small', at=0.05), 0.05)
    assert names(queue)[:2] == ['large0', 'small']


def test_start_is_charged_to_the_account():
    queue = CapacityQueue()
    first = waiting('x0', account='x')
    for req in (first, waiting('x1', account='x'), waiting('y', account='y')):
        queue.enter(req, 0)
    queue.start(first, 0.1)
    assert names(queue) == ['y', 'x1']


# Guards against a second charge when an engine refuses what was started.
def test_request_that_an_engine_refused_gets_its_place_back():
    queue = CapacityQueue()
    first = waiting('x0', account='x')
    for req in (first, waiting('x1', account='x'), waiting('y', account='y')):
        queue.enter(req, 0)
    queue.start(first, 0.1)
    queue.enter(first, 0.2)
    assert names(queue)[0] == 'x0'


# Guards against a large account that pushes small ones out: it sends half of
# the requests, and two thirds of all can be served.
def test_smallest_account_gets_its_fair_share():
    random = Random(3)
    queue = CapacityQueue()
    small = [f's{number}' for number in range(23)]
    arrived, started = Counter(), Counter()
    now, rate = 0.0, 60.0
    free_at = 0.0
    while now < 60:
        now += random.expovariate(rate)
        while free_at <= now and queue:
            for late in queue.expired(free_at):
                queue.leave(late, free_at)
            if not queue:
                break
            req = queue.in_order()[0]
            queue.start(req, free_at)
            started[req.account] += 1
            free_at += 1.5 / rate
        free_at = max(free_at, now) if not queue else free_at
        account = 'large' if random.random() < 0.5 else random.choice(small)
        arrived[account] += 1
        queue.enter(waiting(account=account, at=now), now)
    assert started['large'] < 0.5 * arrived['large']
    assert min(started[one] / arrived[one] for one in small) >= 0.9


def test_queue_is_bounded_and_drops_the_last_in_order():
    queue = CapacityQueue(max_waiting=2)
    queue.enter(waiting('a', rank=1), 0)
    queue.enter(waiting('b', rank=2), 0)
    dropped = queue.enter(waiting('c', rank=0), 0)
    assert [req.request_id for req in dropped] == ['b']
    new = waiting('d', rank=3)
    assert queue.enter(new, 0) == [new]
    assert names(queue) == ['c', 'a']


def test_bodies_are_bounded():
    queue = CapacityQueue(max_body_bytes=1000)
    assert not queue.enter(waiting('a', body=600), 0)
    dropped = queue.enter(waiting('b', body=600, at=0.1), 0.1)
    assert [req.request_id for req in dropped] == ['b']
    assert queue.body_bytes == 600
    queue.leave(next(iter(queue.in_order())), 0.2)
    assert queue.body_bytes == 0


def test_request_that_leaves_is_not_started():
    queue = CapacityQueue()
    req = waiting()
    queue.enter(req, 0)
    queue.leave(req, 0.1)
    queue.leave(req, 0.1)
    assert names(queue) == []
    assert queue.body_bytes == 0


def test_requests_expire_at_their_latest_start():
    queue = CapacityQueue()
    queue.enter(waiting('soon', until=0.3), 0)
    queue.enter(waiting('late', until=0.9), 0)
    assert queue.next_expiry() == pytest.approx(0.3)
    assert [req.request_id for req in queue.expired(0.3)] == ['soon']


def contended(seconds, starts):
    """Return a queue with one request left, and its measured rate."""
    queue = CapacityQueue()
    for number in range(starts):
        queue.enter(waiting(f'q{number}'), 0)
    last = waiting('last', rank=1)
    queue.enter(last, 0)
    for number, req in enumerate(queue.in_order()[:-1]):
        queue.start(req, seconds * (number + 1) / starts)
    return queue, last


def test_estimate_is_the_work_ahead_over_the_measured_rate():
    queue, last = contended(seconds=1.0, starts=9)
    for number in range(5):
        queue.enter(waiting(f'n{number}', rank=1, at=-1), 1.0)
    place = queue.place_of(last, 1.0)
    assert place.ahead == 5
    assert place.estimate_s == pytest.approx(0.5, rel=0.1)


# Guards against refusals on the rate of arrivals at a time without a queue.
def test_no_estimate_before_the_rate_is_known():
    queue = CapacityQueue()
    queue.enter(waiting(), 0)
    second = waiting(at=0.1)
    queue.enter(second, 0.1)
    assert queue.place_of(second, 0.1).estimate_s is None


# Guards against callers that are refused together and come back together.
def test_refused_callers_come_back_spread_out():
    queue, last = contended(seconds=1.0, starts=40)
    random = Random(1)
    times = sorted(
        queue.retry_after_s(waiting(f'q{number}', rank=1), 1.0, random)
        for number in range(100)
    )
    assert times[-1] > 2
    in_window = [
        sum(begin <= time < begin + 0.25 for time in times)
        for begin in times
        if begin < MAX_RETRY_AFTER_S - 0.25
    ]
    # The queue starts 40 a second.
    assert max(in_window) <= 2 * 0.25 * 40
    assert min(times) >= MIN_RETRY_AFTER_S
    assert max(times) <= MAX_RETRY_AFTER_S


def test_urgent_callers_come_back_first():
    queue, _ = contended(seconds=1.0, starts=10)
    random = Random(1)
    by_rank = {rank: [] for rank in (2, 1, 0)}
    for _ in range(10):
        for rank, times in by_rank.items():
            times.append(queue.retry_after_s(waiting(rank=rank), 1.0, random))
    means = [sum(by_rank[rank]) / 10 for rank in (0, 1, 2)]
    assert all(one < other for one, other in pairwise(means))


def test_limit_on_the_wait_allows_for_the_first_event():
    queue = CapacityQueue()
    assert queue.expected_first_event_s == pytest.approx(0.1)
    for seconds in (0.05, 0.06, 0.3):
        queue.record_first_event(seconds)
    assert queue.expected_first_event_s == pytest.approx(0.06)
