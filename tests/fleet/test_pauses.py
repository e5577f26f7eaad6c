"""Pauses that endpoints ask for, and how work returns after them."""

import pytest

from foxtailhatch.fleet import EndpointTable
from foxtailhatch.fleet.pauses import (
    MAX_PAUSE_S,
    RETURN_INTERVAL_S,
    EndpointPauses,
)
from tests.fleet.endpoints import endpoint

E1 = endpoint('e1')


def test_endpoint_is_paused_for_the_time_that_it_named():
    pauses = EndpointPauses()
    assert pauses.record(E1, 2.5, 10)
    assert pauses.is_paused(E1, 12.4)
    assert pauses.left_s(E1, 11) == 1.5
    assert not pauses.is_paused(E1, 12.5)


def test_shorter_pause_does_not_end_a_longer_one():
    pauses = EndpointPauses()
    pauses.record(E1, 5, 10)
    assert not pauses.record(E1, 0.1, 11)
    assert pauses.is_paused(E1, 14.9)


def test_answer_during_a_pause_does_not_end_it():
    pauses = EndpointPauses()
    pauses.record(E1, 5, 10)
    pauses.record_answers([E1], 11)
    assert pauses.is_paused(E1, 14.9)


def test_absurdly_long_pause_is_limited():
    pauses = EndpointPauses()
    pauses.record(E1, 1e9, 10)
    assert pauses.is_paused(E1, 10 + MAX_PAUSE_S - 1)
    assert not pauses.is_paused(E1, 10 + MAX_PAUSE_S)


def test_new_incarnation_has_asked_for_nothing():
    pauses = EndpointPauses()
    pauses.record(E1, 5, 10)
    again = endpoint('e1', incarnation=2)
    assert not pauses.is_paused(again, 11)
    assert pauses.left_s(again, 11) == 0


# Guards against a burst of all requests that have waited for the end of a pause.
def test_requests_return_one_after_the_other_until_one_is_answered():
    pauses = EndpointPauses()
    pauses.record(E1, 1, 10)
    pauses.record_sends([E1], 11)
    assert pauses.is_paused(E1, 11 + RETURN_INTERVAL_S / 2)
    assert not pauses.is_paused(E1, 11 + RETURN_INTERVAL_S)
    pauses.record_sends([E1], 11 + RETURN_INTERVAL_S)
    pauses.record_answers([E1], 11 + 1.1 * RETURN_INTERVAL_S)
    assert not pauses.is_paused(E1, 11 + 1.2 * RETURN_INTERVAL_S)


@pytest.mark.parametrize(('second', 'expected'), [(0, 0), (3, 2), (1, 1)])
def test_service_waits_for_the_shortest_pause_of_all(second, expected):
    table = EndpointTable()
    for name in ('e1', 'e2'):
        table.put(endpoint(name), 10)
    table.pauses.record(endpoint('e1'), 2, 10)
    if second:
        table.pauses.record(endpoint('e2'), second, 10)
    assert table.shortest_pause_s('plain', 10) == expected


def test_pause_outlasts_a_record_that_is_missing_for_a_while():
    table = EndpointTable()
    table.put(endpoint('e1'), 10)
    table.pauses.record(endpoint('e1'), 5, 10)
    table.remove('e1', 11)
    table.put(endpoint('e1'), 12)
    assert [one.name for one in table.paused('plain', 13)] == ['e1']


def test_pauses_of_endpoints_that_did_not_return_are_forgotten():
    pauses = EndpointPauses()
    for number in range(100):
        pauses.record(endpoint(f'e{number}'), 1, 100 * number)
    assert len(pauses) == 1
