"""What other entries say decides whether a missing record is a lapse."""

import asyncio

import pytest

from foxtailhatch.router.entry_table import Heartbeat
from foxtailhatch.router.lapse_review import LapseReview
from foxtailhatch.router.store_outage import OutageView
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.router.fakes import board
from tests.router.test_entry_table import entry

FAILED_AT = 100.0
NOW = 101.0


class Answers:
    """Peers that give these views in ages at ``NOW``, in order."""

    def __init__(self, *views):
        self.views = list(views)
        self.asked = []

    async def view(self, peer):
        self.asked.append(peer.name)
        return self.views.pop(0)


def ages(since, until, away_at=None, back_at=None):
    times = (since, until, away_at, back_at)
    return OutageView(*(None if at is None else NOW - at for at in times))


SOUND = ages(50, NOW)
AWAY = ages(100.5, NOW, 100.0, 100.6)
LATER = ages(100.5, NOW)


def make_review(*views, readers=None):
    blackboard = board()
    blackboard.clock.now = NOW
    blackboard.endpoints.put(endpoint('e1'), 50)
    for number in range(len(views) if readers is None else readers):
        name = f'reader-{number}'
        blackboard.entries.record_heartbeat(
            name, Heartbeat([entry(name)]), NOW - number
        )
    blackboard.outage.record_failure(FAILED_AT)
    blackboard.outage.record_success(100.6, 100.6)
    until = blackboard.outage.lapses_until(NOW)
    blackboard.endpoints.mark_lapsed('e1', until)
    peers, log = Answers(*views), ListLog()
    return blackboard, LapseReview(blackboard, peers, log), peers, log


def is_used(blackboard, now):
    blackboard.endpoints.remove_lapsed(now)
    return blackboard.endpoints.get('e1') is not None


def test_endpoint_is_gone_if_the_store_was_there_for_another_entry():
    blackboard, review, _, log = make_review(SOUND)
    asyncio.run(review.step())
    assert not is_used(blackboard, NOW)
    assert log.of('endpoint_gone') == [{'name': 'e1', 'why': 'reviewed'}]


def test_endpoint_has_its_grace_if_the_store_was_away_for_others():
    blackboard, review, _, _ = make_review(AWAY)
    asyncio.run(review.step())
    assert is_used(blackboard, 103.1)
    assert not is_used(blackboard, 103.3)


@pytest.mark.parametrize('views', [(SOUND, AWAY), (AWAY, SOUND)])
def test_a_reader_that_saw_no_failure_outweighs_one_that_was_turned_away(views):
    blackboard, review, _, _ = make_review(*views)
    asyncio.run(review.step())
    assert not is_used(blackboard, NOW)


# Guards against use beyond the bound where nobody can tell what the store did.
@pytest.mark.parametrize('views', [(), (None,), (LATER,)])
def test_unexplained_failures_give_no_grace_once_the_entry_has_settled(views):
    blackboard, review, _, _ = make_review(*views)
    asyncio.run(review.step())
    assert is_used(blackboard, 102.7)
    settled_at = FAILED_AT + blackboard.cfg.bounds.settling_s
    assert not is_used(blackboard, settled_at)


def test_each_lapse_is_reviewed_once():
    blackboard, review, peers, _ = make_review(AWAY, AWAY, readers=1)
    asyncio.run(review.step())
    asyncio.run(review.step())
    assert len(peers.asked) == 1
    blackboard.endpoints.put(endpoint('e2'), NOW)
    blackboard.endpoints.mark_lapsed('e2', NOW + 1)
    blackboard.outage.record_failure(100.8)
    asyncio.run(review.step())
    assert len(peers.asked) == 2


def test_nobody_is_asked_without_failures_of_the_own_reads():
    blackboard, review, peers, _ = make_review(readers=2)
    blackboard.outage.adopt(OutageView(50, NOW))
    asyncio.run(review.step())
    assert peers.asked == []
