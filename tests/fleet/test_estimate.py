"""Estimates of the work of all entries at an endpoint."""

from foxtailhatch.fleet import (
    EndpointLoads,
    PeerWork,
    Work,
    WorkEstimate,
)
from foxtailhatch.fleet.estimate import PEER_WORK_TTL_S


def own():
    loads = EndpointLoads()
    loads.begin(['e1', 'e2'], 100)
    return loads


def test_peer_work_is_added_to_own_work():
    peers = PeerWork()
    peers.update({'e1': Work(4, 3, 500)}, 0)
    loads = own()
    loads.start_period()
    loads.start_period()
    estimate = WorkEstimate(loads, peers, 9, 0)
    assert estimate.work_at('e1') == Work(5, 4, 600)
    assert estimate.work_at('e2') == Work(1, 0, 100)


def test_peers_are_assumed_alike_without_a_fresh_report():
    peers = PeerWork()
    peers.update({'e1': Work(4, 3, 500)}, 0)
    stale_estimate = WorkEstimate(own(), peers, 3, PEER_WORK_TTL_S + 0.1)
    assert stale_estimate.work_at('e1') == Work(3, 3, 300)


def test_ended_work_is_not_reported():
    loads = own()
    loads.end(['e1', 'e2'], 100)
    assert loads.in_progress() == {}


def test_peers_are_assumed_to_have_sent_alike_since_their_report():
    peers = PeerWork()
    loads = EndpointLoads()
    peers.update({'e1': Work(4, 3, 500)}, 0)
    loads.start_period()
    loads.begin(['e1'], 100)
    estimate = WorkEstimate(loads, peers, 9, 0)
    assert estimate.work_at('e1') == Work(4 + 1 + 8, 3 + 1 + 8, 500 + 900)


def test_work_that_has_ended_since_the_report_still_counts():
    """Of the others, some that are assumed to have begun still run."""
    loads = own()
    loads.end(['e1', 'e2'], 100)
    assert loads.recently_begun('e1') == Work(1, 1, 100)
