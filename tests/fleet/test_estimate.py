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
    estimate = WorkEstimate(own(), peers, 9, 0)
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
