"""The work of all entries at an endpoint, as one of them sees it."""

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


def test_what_others_told_is_added_to_the_own_work():
    others = PeerWork()
    others.update({'e1': Work(4, 3, 500)}, 0)
    found = WorkEstimate(own(), others, 9, 0)
    assert found.work_at('e1') == Work(5, 4, 600)
    assert found.work_at('e2') == Work(1, 0, 100)


def test_without_news_others_are_taken_to_send_alike():
    others = PeerWork()
    others.update({'e1': Work(4, 3, 500)}, 0)
    late = WorkEstimate(own(), others, 3, PEER_WORK_TTL_S + 0.1)
    assert late.work_at('e1') == Work(3, 3, 300)


def test_ended_work_is_not_told():
    loads = own()
    loads.end(['e1', 'e2'], 100)
    assert loads.in_progress() == {}
