"""Which records of endpoints are older than what is known of them."""

import pytest

from foxtailhatch.fleet import EndpointState, EndpointTable
from foxtailhatch.fleet.last_heartbeats import KEPT_S, LastHeartbeats
from foxtailhatch.fleet.table import REVIVAL_DELAY_S
from tests.fleet.endpoints import endpoint


def heartbeats_of(*endpoints):
    heartbeats = LastHeartbeats()
    for one in endpoints:
        heartbeats.record(one)
    return heartbeats


@pytest.mark.parametrize(
    ('incarnation', 'number', 'is_older'),
    [(5, 8, False), (5, 9, False), (5, 7, True), (4, 20, True), (6, 1, False)],
)
def test_record_with_an_earlier_heartbeat_is_older(
    incarnation, number, is_older
):
    heartbeats = heartbeats_of(endpoint(incarnation=5, heartbeats=8))
    record = endpoint(incarnation=incarnation, heartbeats=number)
    assert heartbeats.is_older(record) is is_older


def test_last_record_of_a_removed_endpoint_is_older_for_a_while():
    record = endpoint(heartbeats=8)
    heartbeats = heartbeats_of(record)
    heartbeats.record_removal('e1', now=10)
    assert heartbeats.is_older(record)
    assert not heartbeats.is_older(endpoint(heartbeats=9))
    heartbeats.record_removal('e2', now=11 + KEPT_S)
    assert not heartbeats.is_older(record)


@pytest.mark.parametrize('unnumbered', [{'incarnation': 0}, {'heartbeats': 0}])
def test_unnumbered_records_are_taken_as_they_are_listed(unnumbered):
    record = endpoint(**({'heartbeats': 4} | unnumbered))
    heartbeats = heartbeats_of(record)
    heartbeats.record_removal('e1', now=10)
    assert not heartbeats.is_older(record)
    assert not heartbeats.is_older(endpoint(heartbeats=2))


# Guards against an endpoint that is ignored for good after another writer's record.
@pytest.mark.parametrize(
    'other',
    [
        {'incarnation': 6, 'heartbeats': 1},
        {'incarnation': 10**15, 'heartbeats': 10**15},
        {'incarnation': 5, 'heartbeats': 10**15},
    ],
)
def test_endpoint_that_writes_on_is_not_older_for_long(other):
    heartbeats = heartbeats_of(endpoint(incarnation=5, heartbeats=8))
    heartbeats.record(endpoint(**other))
    seen = []
    for number in (9, 10):
        record = endpoint(incarnation=5, heartbeats=number)
        seen.append(heartbeats.is_older(record))
        heartbeats.record_older(record)
    assert not seen[1]
    assert seen[0] is (other['incarnation'] == 5)


# Guards against an endpoint that is ignored as its clock was wrong when it started.
def test_start_that_goes_back_is_accepted_with_its_second_heartbeat():
    heartbeats = heartbeats_of(endpoint(incarnation=5, heartbeats=8))
    first = endpoint(incarnation=4, heartbeats=1)
    assert heartbeats.is_older(first)
    heartbeats.record_older(first)
    assert heartbeats.is_older(first)
    assert not heartbeats.is_older(endpoint(incarnation=4, heartbeats=2))


# Guards against work for dead and draining endpoints after a restore.
def test_older_copy_revives_no_endpoint():
    table = EndpointTable()
    dead = endpoint('e1', heartbeats=8)
    draining = endpoint('e2', heartbeats=8, state=EndpointState.DRAINING)
    for one in (dead, draining):
        table.put(one, 0)
    table.mark_dead('e1', 1, 1)
    now = 2 + REVIVAL_DELAY_S
    for name in ('e1', 'e2'):
        record = endpoint(name, heartbeats=5)
        if not table.is_outdated(record):
            table.put(record, now)
    assert table.usable('plain', now) == []
