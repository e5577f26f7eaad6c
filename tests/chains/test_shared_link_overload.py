"""Metastable overload of the link that all chains across zones share.

A chain that borrows a fast accelerator of another zone is faster for its own
request.  All requests that do so queue for one link; once it is full, streams
stall, are run again, and add to the queue.
"""

from itertools import pairwise
from random import Random

import pytest

from foxtailhatch.fleet import Work
from foxtailhatch.relay.context import SelectionRequest
from foxtailhatch.relay.request import RelayRequest, TokenCounts
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from tests.fleet.endpoints import endpoint
from tests.router.fakes import Clock, board
from tests.routes.configurations import MODEL

ZONES = ('z1', 'z2', 'z3')
# The fast zone has twice the speed of the others or more.
FAST_ZONE = 'z2'
SIZES = {'large': 16, 'middle': 8}
REQUEST = RelayRequest(
    request_id='q1',
    method='POST',
    target='/m/x',
    host='host.example',
    headers=(),
    body=b'',
    key=None,
    caller_timeout_s=20,
    tokens=TokenCounts(prompt=800, max_output=400, expected_output=200),
    last_event_id=None,
)


def engine(name, zone, layers, kind):
    return endpoint(
        name,
        'model',
        zone=zone,
        layers=layers,
        accelerator_kind=kind,
        slots=96,
    )


def fleet(zones=ZONES):
    """Return a whole replica for each zone."""
    return [live for zone in zones for live in replica(zone)]


def replica(zone):
    kind = 'large' if zone == FAST_ZONE else 'middle'
    size = SIZES[kind]
    return [
        engine(f'{zone}-{first}', zone, (first, first + size), kind)
        for first in range(0, 80, size)
    ]


def working(zone, work):
    """Return the work of peers, alike at all endpoints of a zone."""
    return {live.name: work for live in replica(zone)}


def select(endpoints, peers=None):
    """Return the zones of the chain that an entry in the first zone selects."""
    env = board(Clock())
    for live in endpoints:
        env.endpoints.put(live, env.clock())
    if peers:
        env.peer_work.update(peers, env.clock())
    selection = SelectionRequest(MODEL, REQUEST)
    chosen = LoadAwareSelector(env, Random(1)).select(selection, env.clock())
    return [stage.endpoint.zone for stage in chosen]


def test_faster_accelerators_of_another_zone_attract_no_stage():
    assert set(select(fleet())) == {'z1'}


@pytest.mark.parametrize('running', [5, 20, 40])
def test_busy_zone_keeps_its_requests(running):
    """Each stage becomes slower with its load, but no stage leaves the zone."""
    work = Work(running, running, 1000 * running)
    assert set(select(fleet(), working('z1', work))) == {'z1'}


def test_full_zone_sends_the_request_as_a_whole_to_another():
    full = Work(96, 96, 500_000)
    zones = set(select(fleet(), working('z1', full)))
    assert len(zones) == 1
    assert zones != {'z1'}


def test_zone_with_lost_layers_sends_the_request_as_a_whole_to_another():
    lost = [live for live in fleet() if live.name != 'z1-40']
    assert set(select(lost)) == {FAST_ZONE}


def test_chain_crosses_zones_only_if_no_zone_is_complete():
    lost = {'z1-40', 'z2-48', 'z3-0'}
    zones = select([live for live in fleet() if live.name not in lost])
    crossings = sum(one != other for one, other in pairwise(zones))
    assert crossings == 1
