from collections import deque

import pytest

from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.outside import (
    CacheEvent,
    CancelStage,
    OpenStage,
    StageFault,
    StageOpened,
    StageRefused,
    StepStage,
)
from standins.engine_streams import EngineStreams
from standins.prefix_cache import PrefixCache

HELD_LAYERS = LayerRange(0, 4)
PROMPT = tuple(range(100, 140))
BLOCKS = ('b0', 'b1')


def _open(stream='s', attempt=1, layers=HELD_LAYERS, **other):
    return OpenStage(stream, attempt, 'toy', '1', layers, **other)


def _fault(outcome):
    assert isinstance(outcome, StageRefused)
    return outcome.fault


def _cached(outcome):
    assert isinstance(outcome, StageOpened)
    return outcome.cached


@pytest.fixture
def streams():
    return EngineStreams((Holding('toy', '1', HELD_LAYERS),), {'toy': 8}, 2)


@pytest.mark.parametrize(
    'frame',
    [
        _open(layers=LayerRange(2, 6)),
        _open(layers=LayerRange(2, 2)),
        _open(adapter='unknown'),
        OpenStage('s', 1, 'toy', '2', HELD_LAYERS),
    ],
)
def test_open_without_a_matching_holding_is_refused(streams, frame):
    assert _fault(streams.open(frame, 'a', 0)) is StageFault.WRONG_HOLDING


def test_subrange_of_a_holding_can_be_opened(streams):
    assert _cached(streams.open(_open(layers=LayerRange(1, 3)), 'a', 0)) == 0


def test_open_beyond_max_streams_is_refused(streams):
    for name in ('s', 't'):
        streams.open(_open(name), 'a', 0)
    assert _fault(streams.open(_open('u'), 'a', 0)) is StageFault.FULL
    assert _cached(streams.open(_open('t', 2), 'a', 0)) == 0


def test_draining_engine_refuses_new_streams_and_keeps_open_ones(streams):
    streams.open(_open(), 'a', 0)
    streams.leaving = True
    assert _fault(streams.open(_open('t'), 'a', 0)) is StageFault.LEAVING
    assert _cached(streams.open(_open(attempt=2), 'a', 0)) == 0


def test_stale_attempt_cannot_open_step_or_cancel(streams):
    streams.open(_open(attempt=2), 'a', 0)
    stale = StepStage('s', 1, 0, PROMPT)
    assert _fault(streams.open(_open(), 'a', 0)) is StageFault.STALE_ATTEMPT
    assert _fault(streams.step(stale, 0)) is StageFault.STALE_ATTEMPT
    streams.cancel(CancelStage('s', 1))
    assert streams.streams


def test_newer_attempt_reuses_the_cache_until_cancelled(streams):
    streams.open(_open(), 'a', 0)
    streams.step(StepStage('s', 1, 0, PROMPT), 0)
    assert _cached(streams.open(_open(attempt=2), 'b', 0)) == len(PROMPT)
    streams.cancel(CancelStage('s', 2))
    assert _cached(streams.open(_open(attempt=3), 'b', 0)) == 0


@pytest.mark.parametrize(
    'step',
    [
        StepStage('s', 1, 41, (1,)),
        StepStage('s', 1, -1, (1,)),
        StepStage('s', 1, 40),
        StepStage('s', 1, 40, (), ('00',)),
    ],
)
def test_invalid_step_is_refused_without_changes(streams, step):
    streams.open(_open(), 'a', 0)
    streams.step(StepStage('s', 1, 0, PROMPT), 0)
    assert _fault(streams.step(step, 0)) is StageFault.BAD_POSITION
    assert len(streams.streams['s'].cache) == len(PROMPT)


def test_step_at_an_earlier_position_truncates_the_cache(streams):
    for name in ('s', 't'):
        streams.open(_open(name), 'a', 0)
        streams.step(StepStage(name, 1, 0, PROMPT), 0)
    streams.step(StepStage('s', 1, 40, (1, 2, 3)), 0)
    again = streams.step(StepStage('s', 1, 40, (9,)), 0)
    once = streams.step(StepStage('t', 1, 40, (9,)), 0)
    assert again.activations == once.activations


def test_cached_prefix_is_not_prefilled_again(streams):
    streams.open(_open(prompt=BLOCKS), 'a', 0)
    first = streams.step(StepStage('s', 1, 0, PROMPT), 0)
    assert _cached(streams.open(_open('t', prompt=BLOCKS), 'a', 0)) == 32
    second = streams.step(StepStage('t', 1, 32, PROMPT[32:]), 0)
    assert second.activations == first.activations[32:]


def test_full_prefix_cache_evicts_the_oldest_block(streams):
    streams.prefix_cache = PrefixCache(1)
    streams.open(_open(prompt=BLOCKS), 'a', 0)
    streams.step(StepStage('s', 1, 0, PROMPT), 0)
    events = streams.prefix_cache.events_after(0).events
    assert [(event.block, event.present) for event in events] == [
        ('b0', True),
        ('b1', True),
        ('b0', False),
    ]
    assert _cached(streams.open(_open('t', prompt=BLOCKS), 'a', 0)) == 0


def test_cache_events_are_delayed_and_lost_events_give_a_gap():
    cache = PrefixCache(1, late_events=1)
    cache.events = deque([CacheEvent(5, 'b0', True), CacheEvent(6, 'b1', True)])
    cache.last_event = 6
    assert [event.number for event in cache.events_after(4).events] == [5]
    assert not cache.events_after(4).gap
    assert cache.events_after(3).gap
