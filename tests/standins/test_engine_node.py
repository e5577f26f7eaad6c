import pytest
from twisted.internet.task import Clock

from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.outside import EngineOrder, OpenStage, Ping, StepStage
from foxtailhatch.outside.frames_json import decode_down, encode_frame
from standins.engine_node import Engine, EngineSettings
from standins.engine_streams import EngineStreams
from standins.http_app import Call, reply

HELD_HOLDING = Holding('toy', '1', LayerRange(0, 2))
DESIRED = Holding('toy', '2', LayerRange(0, 2))
GRACE_S = 5


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def node(clock):
    streams = EngineStreams((HELD_HOLDING,), {'toy': 2})
    settings = EngineSettings('ep', streams, grace_s=GRACE_S, loading_s=3)
    return Engine(clock, settings)


def _order(node, fence, *holdings):
    body = EngineOrder(fence, holdings)
    return node.answer(Call('POST', ('orders',), {}, {}, reply(body).body))


def test_detached_stream_is_dropped_after_the_grace_period(node, clock):
    session = node.sessions.session('one')
    node.receive(session, OpenStage('s', 1, 'toy', '1', HELD_HOLDING.layers))
    session.close()
    clock.pump([1] * GRACE_S)
    assert 's' in node.streams.streams
    clock.pump([1])
    assert 's' not in node.streams.streams


def test_inactive_session_is_closed_after_the_grace_period(node, clock):
    session = node.sessions.session('one')
    clock.pump([1] * GRACE_S)
    assert not session.closed
    clock.pump([1])
    assert session.closed


def test_order_takes_effect_after_the_loading_time(node, clock):
    _order(node, 1, HELD_HOLDING, DESIRED)
    assert node.streams.holdings == (HELD_HOLDING,)
    clock.advance(3)
    assert node.streams.holdings == (HELD_HOLDING, DESIRED)


def test_newer_order_supersedes_a_loading_order(node, clock):
    _order(node, 1, DESIRED)
    _order(node, 2, HELD_HOLDING)
    clock.advance(3)
    assert node.streams.holdings == (HELD_HOLDING,)


def test_single_frames_are_processed_without_a_session(node):
    def process_frame(line):
        return node.answer(Call('POST', ('frames',), {}, {}, line)).body

    opening = OpenStage('s', 1, 'toy', '1', HELD_HOLDING.layers)
    assert (
        decode_down(process_frame(encode_frame(opening))).unwrap().cached == 0
    )
    step = StepStage('s', 1, 0, (1,))
    assert (
        decode_down(process_frame(encode_frame(step))).unwrap().token
        is not None
    )
    with pytest.raises(ValueError, match='expected an open or step frame'):
        process_frame(encode_frame(Ping(1)))


def test_order_with_an_unknown_model_is_rejected(node):
    other = Holding('other', '1', LayerRange(0, 2))
    assert _order(node, 1, other).status == 404
    assert node.streams.holdings == (HELD_HOLDING,)
