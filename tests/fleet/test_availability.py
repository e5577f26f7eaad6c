"""The reason for which an endpoint gets no work from this entry."""

import pytest

from foxtailhatch.fleet import (
    Availability,
    EndpointState,
    EndpointTable,
    count_availability,
)
from foxtailhatch.fleet.availability import availability
from tests.fleet.endpoints import endpoint

CHANGES = {
    Availability.LEAVING: lambda table: table.mark_leaving('e1', 1, 0),
    Availability.DRAINING: lambda table: table.put(
        endpoint('e1', state=EndpointState.DRAINING), 0
    ),
    Availability.DEAD: lambda table: table.mark_dead('e1', 1, 0),
    Availability.SILENT: lambda table: table.mark_silent('e1', 1),
    Availability.PAUSED: lambda table: table.pauses.record(
        endpoint('e1'), 2, 0
    ),
    Availability.BACKED_OFF: lambda table: table.record_failure('e1', 0),
    Availability.READY: lambda table: None,
}


@pytest.fixture
def table():
    endpoints = EndpointTable()
    for name in ('e1', 'e2', 'e3'):
        endpoints.put(endpoint(name), 0)
    return endpoints


@pytest.mark.parametrize('state', list(Availability))
def test_each_state_is_named_and_counted(table, state):
    CHANGES[state](table)
    assert availability(table, endpoint('e1'), 0.1) is state
    assert availability(table, endpoint('e2'), 0.1) is Availability.READY
    counts = count_availability(table, 0.1)
    assert counts.keys() == set(Availability)
    assert counts[state] == (3 if state is Availability.READY else 1)
    assert sum(counts.values()) == 3


def test_first_of_several_reasons_counts(table):
    for state, change in CHANGES.items():
        if state is not Availability.DEAD:
            change(table)
    assert availability(table, endpoint('e1'), 0.1) is Availability.LEAVING


def test_new_start_is_ready_again(table):
    for change in CHANGES.values():
        change(table)
    started = endpoint('e1', incarnation=2)
    table.put(started, 1)
    assert availability(table, started, 1) is Availability.READY


def test_pause_and_back_off_end_by_time(table):
    CHANGES[Availability.PAUSED](table)
    CHANGES[Availability.BACKED_OFF](table)
    assert availability(table, endpoint('e1'), 2) is Availability.READY
