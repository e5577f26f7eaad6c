"""Several streams that pause at once point at a dead part of their chain."""

import asyncio
from types import SimpleNamespace

from returns.result import Failure, Success

from foxtailhatch.placement.protocols import EngineFault, OrderOutcome
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.router.group_stall_detector import (
    FIRST_PAUSE_S,
    GROUP_MIN,
    GROUP_PAUSE_S,
    LONE_PAUSE_S,
    PROBE_AGAIN_S,
    GroupStallDetector,
)
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.router.fakes import MemoryEngines

PARTS = [endpoint(name, 'model') for name in ('e1', 'e2', 'e3')]


class Stream(SimpleNamespace):
    __hash__ = object.__hash__


def stream(last_progress_at=0.0, parts=PARTS, started=True):
    chosen = tuple(SimpleNamespace(endpoint=part) for part in parts)
    return Stream(
        attempt=SimpleNamespace(chosen=chosen),
        is_started=started,
        last_progress_at=last_progress_at,
    )


class Watched:
    """A watch, its engines and what it found."""

    def __init__(self, *silent):
        self.engines = MemoryEngines()
        self.asked = 0
        for name in silent:
            self.engines.outcomes[name] = OrderOutcome.NO_ANSWER
        self.found = []
        self.log = ListLog()
        self.watch = GroupStallDetector(
            self.engines,
            lambda one, why: self.found.append(one.name),
            self.log,
        )

    def look(self, streams, now):
        asyncio.run(self.watch.look(streams, now))


def test_silent_part_of_a_paused_group_is_found():
    watched = Watched('e2')
    watched.look([stream() for _ in range(GROUP_MIN)], 2 * GROUP_PAUSE_S)
    assert watched.found == ['e2']


def test_one_stream_with_progress_clears_the_group():
    watched = Watched('e2')
    streams = [stream() for _ in range(GROUP_MIN)]
    streams.append(stream(last_progress_at=GROUP_PAUSE_S))
    watched.look(streams, 1.5 * GROUP_PAUSE_S)
    assert watched.found == []


def test_lone_stream_has_to_pause_for_longer():
    """Many entries share the traffic, so each has few streams a chain."""
    watched = Watched('e2')
    between = (GROUP_PAUSE_S + LONE_PAUSE_S) / 2
    watched.look([stream()], between)
    assert watched.found == []
    watched.look([stream()], 1.01 * LONE_PAUSE_S)
    assert watched.found == ['e2']


def test_request_that_waits_long_for_its_first_event_is_looked_after():
    watched = Watched('e2')
    waiting = [stream(started=False)]
    watched.look(waiting, 0.9 * FIRST_PAUSE_S)
    assert watched.found == []
    watched.look(waiting, 1.1 * FIRST_PAUSE_S)
    assert watched.found == ['e2']


def test_new_request_does_not_hide_that_others_pause():
    watched = Watched('e2')
    now = 1.0
    streams = [stream(), stream(now - 0.01, started=False)]
    watched.look(streams, now)
    assert watched.found == ['e2']


def test_engine_that_is_only_slow_lives():
    """Its report comes after the first question's time, before the second's."""
    watched = Watched()
    answers = iter([False, True])

    async def report(one, timeout_s):
        if one.name != 'e2' or next(answers):
            return Success(EngineReport())
        return Failure(EngineFault.NO_RESPONSE)

    watched.engines.report = report
    watched.look([stream() for _ in range(GROUP_MIN)], 1.0)
    assert watched.found == []
    assert watched.log.of('slow')[0]['endpoints'] == ['e2']


def test_chains_that_share_endpoints_do_not_ask_them_again_and_again():
    """Slow engines: all streams pause, over many different chains."""
    watched = Watched()
    asked = []

    async def report(one, timeout_s):
        asked.append(one.name)
        return Success(EngineReport())

    watched.engines.report = report
    watched.look([stream()], 1.0)
    watched.look([stream(parts=PARTS[::-1])], 1.1)
    assert sorted(asked) == ['e1', 'e2', 'e3']


def test_silence_of_most_parts_is_our_own_fault():
    watched = Watched('e1', 'e2')
    watched.look([stream() for _ in range(GROUP_MIN)], 1.0)
    assert watched.found == []
    assert watched.log.of('silent_all')


def test_parts_are_not_asked_again_at_once():
    watched = Watched('e2')
    streams = [stream() for _ in range(GROUP_MIN)]
    watched.look(streams, 1.0)
    watched.look(streams, 1.0 + PROBE_AGAIN_S / 2)
    assert watched.found == ['e2']
    watched.look(streams, 1.0 + PROBE_AGAIN_S)
    assert watched.found == ['e2', 'e2']


def test_streams_over_other_parts_are_another_group():
    watched = Watched('e2')
    others = [stream(parts=PARTS[:1]) for _ in range(GROUP_MIN)]
    watched.look(others, 1.0)
    assert watched.found == []
