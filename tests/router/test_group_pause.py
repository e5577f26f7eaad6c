"""Several streams that pause at once point at a dead part of their chain."""

import asyncio
from types import SimpleNamespace

from foxtailhatch.placement.protocols import OrderOutcome
from foxtailhatch.router.group_pause import (
    GROUP_MIN,
    GROUP_PAUSE_S,
    PROBE_AGAIN_S,
    GroupPause,
)
from tests.fleet.endpoints import endpoint
from tests.router.fakes import MemoryEngines

PARTS = [endpoint(name, 'model') for name in ('e1', 'e2', 'e3')]


def stream(progress_at=0.0, parts=PARTS):
    chosen = tuple(SimpleNamespace(endpoint=part) for part in parts)
    return SimpleNamespace(
        attempt=SimpleNamespace(chosen=chosen),
        is_started=True,
        progress_at=progress_at,
    )


class Watched:
    """A watch, its engines and what it found."""

    def __init__(self, *silent):
        self.engines = MemoryEngines()
        self.asked = 0
        for name in silent:
            self.engines.outcomes[name] = OrderOutcome.NO_ANSWER
        self.found = []
        self.watch = GroupPause(
            self.engines,
            lambda one, why: self.found.append(one.name),
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
    streams.append(stream(progress_at=GROUP_PAUSE_S))
    watched.look(streams, 1.5 * GROUP_PAUSE_S)
    assert watched.found == []


def test_few_streams_prove_nothing():
    watched = Watched('e2')
    watched.look([stream()], 1.0)
    assert watched.found == []


def test_silence_of_most_parts_is_our_own_fault():
    watched = Watched('e1', 'e2')
    watched.look([stream() for _ in range(GROUP_MIN)], 1.0)
    assert watched.found == []


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
