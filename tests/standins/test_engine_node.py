import pytest
from twisted.internet.task import Clock

from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.outside import EngineOrder, OpenStage, Ping, StepStage
from foxtailhatch.outside.frames_json import decode_down, encode_frame
from standins.engine_node import Engine, EngineSettings
from standins.engine_streams import EngineStreams
from standins.http_app import Call, reply

HELD = Holding('toy', '1', LayerRange(0, 2))
WISHED = Holding('toy', '2', LayerRange(0, 2))
GRACE_S = 5


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def node(clock):
    streams = EngineStreams((HELD,), {'toy': 2})
    settings = EngineSettings('ep', streams, grace_s=GRACE_S, loading_s=3)
    return Engine(clock, settings)


def _order(node, fence, *holdings):
    body = EngineOrder(fence, holdings)
    return node.answer(Call('POST', ('orders',), {}, {}, reply(body).body))


def test_a_stream_outlives_its_session_by_the_grace_time(node, clock):
    session = node.sessions.session('one')
    node.receive(session, OpenStage('s', 1, 'toy', '1', HELD.layers))
    session.close()
    clock.pump([1] * GRACE_S)
    assert 's' in node.streams.streams
    clock.pump([1])
    assert 's' not in node.streams.streams


def test_a_session_whose_entry_went_silent_is_closed(node, clock):
    session = node.sessions.session('one')
    clock.pump([1] * GRACE_S)
    assert not session.closed
    clock.pump([1])
    assert session.closed


def test_an_order_takes_effect_when_its_weights_are_loaded(node, clock):
    _order(node, 1, HELD, WISHED)
    assert node.streams.holdings == (HELD,)
    clock.advance(3)
    assert node.streams.holdings == (HELD, WISHED)


def test_a_newer_order_takes_the_place_of_one_that_loads(node, clock):
    _order(node, 1, WISHED)
    _order(node, 2, HELD)
    clock.advance(3)
    assert node.streams.holdings == (HELD,)


def test_single_frames_are_answered_without_a_session(node):
    def ask(line):
        return node.answer(Call('POST', ('frames',), {}, {}, line)).body

    opening = OpenStage('s', 1, 'toy', '1', HELD.layers)
    assert decode_down(ask(encode_frame(opening))).unwrap().cached == 0
    step = StepStage('s', 1, 0, (1,))
    assert decode_down(ask(encode_frame(step))).unwrap().token is not None
    with pytest.raises(ValueError, match='neither'):
        ask(encode_frame(Ping(1)))


def test_an_order_for_an_unknown_model_changes_nothing(node):
    other = Holding('other', '1', LayerRange(0, 2))
    assert _order(node, 1, other).status == 404
    assert node.streams.holdings == (HELD,)
