"""The work of all entries at an endpoint, as one of them sees it."""

from foxtailhatch.fleet import (
    EndpointLoads,
    OthersWork,
    Work,
    WorkEstimate,
)
from foxtailhatch.fleet.estimate import TOLD_FOR_S


def own():
    loads = EndpointLoads()
    loads.begin(['e1', 'e2'], 100)
    return loads


def test_what_others_told_is_added_to_the_own_work():
    others = OthersWork()
    others.hear({'e1': Work(4, 3, 500)}, 0)
    found = WorkEstimate(own(), others, 9, 0)
    assert found.of('e1') == Work(5, 4, 600)
    assert found.of('e2') == Work(1, 0, 100)


def test_without_news_others_are_taken_to_send_alike():
    others = OthersWork()
    others.hear({'e1': Work(4, 3, 500)}, 0)
    late = WorkEstimate(own(), others, 3, TOLD_FOR_S + 0.1)
    assert late.of('e1') == Work(3, 3, 300)


def test_ended_work_is_not_told():
    loads = own()
    loads.end(['e1', 'e2'], 100)
    assert loads.in_progress() == {}
