import asyncio

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.logger import globalLogPublisher

from foxtailhatch.core import (
    Address,
    Endpoint,
    EndpointKind,
    Invariant,
    InvariantBroken,
    LayerRange,
)
from foxtailhatch.platform import Ping, StageOutput
from foxtailhatch.platform.engine_http import HttpEngine
from foxtailhatch.platform.frames_json import MAX_LINE_BYTES, encode_frame
from foxtailhatch.platform.session_http import HttpSession, SessionTiming
from tests.platform.loop import Heard, run
from tests.platform.raw import raw_server
from tests.platform.standin import client, endpoint, engine, listening

ENGINE = Endpoint('ep', Address('127.0.0.1', 1), EndpointKind.ENGINE, 'whk-a')
TIMING = SessionTiming(heartbeat_s=1, silent_s=3)
OUTPUT = StageOutput('s', 1, LayerRange(0, 2), 0, ('a',))
LINE = encode_frame(OUTPUT)
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n'


class _Agent:
    """An agent whose requests never get an answer."""

    def __init__(self):
        self.bodies = []

    def request(self, method, url, headers=None, producer=None):
        self.bodies.append(producer)
        return Deferred()


class _Consumer:
    def __init__(self):
        self.writes = []

    def write(self, chunk):
        self.writes.append(chunk)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def heard():
    return Heard()


@pytest.fixture
def consumer():
    return _Consumer()


@pytest.fixture
def session(clock, heard, consumer):
    opened = HttpSession(ENGINE, heard, clock, TIMING)
    agent = _Agent()
    opened.open(agent, 'one')
    clock.advance(0)
    agent.bodies[0].startProducing(consumer)
    return opened


def test_a_session_without_bytes_is_lost_as_silent(session, clock, heard):
    clock.pump([1, 1])
    assert not heard.reasons
    clock.pump([1, 1, 1, 0])
    assert heard.reasons == ['silent']


def test_any_byte_keeps_a_session(session, clock, heard):
    for _ in range(6):
        clock.advance(1)
        session.bytes_received(b'{')
    assert not heard.reasons


def test_a_pause_of_this_process_is_not_silence(session, clock, heard):
    clock.advance(30)
    assert not heard.reasons
    clock.pump([1, 1, 1, 1, 0])
    assert heard.reasons == ['silent']


def test_frames_of_one_turn_leave_in_one_write(session, clock, consumer):
    consumer.writes.clear()
    session.send(Ping(7))
    session.send(Ping(8))
    clock.advance(0)
    assert consumer.writes == [encode_frame(Ping(7)) + encode_frame(Ping(8))]


def test_frames_sent_before_the_connection_are_kept_in_order(clock, heard):
    opened = HttpSession(ENGINE, heard, clock, TIMING)
    agent = _Agent()
    opened.send(Ping(7))
    opened.open(agent, 'one')
    clock.advance(0)
    opened.send(Ping(8))
    clock.advance(0)
    late = _Consumer()
    agent.bodies[0].startProducing(late)
    expected = b''.join(encode_frame(Ping(number)) for number in (7, 1, 8))
    assert late.writes == [expected]


def test_a_frame_cut_in_two_is_heard_once(session, clock, heard):
    session.bytes_received(LINE[:9])
    clock.advance(0)
    assert not heard.frames
    session.bytes_received(LINE[9:])
    clock.advance(0)
    assert heard.frames == [OUTPUT]


@pytest.mark.parametrize(
    'bad',
    [
        b'no json\n',
        b'{}\n',
        b'{"kind":"nothing"}\n',
        b'{"kind":"output","stream":"s","attempt":"1"}\n',
        b'\xff\n',
        b'[' * 100_000 + b'\n',
        b'\n',
    ],
)
def test_a_bad_frame_loses_the_session_and_what_follows(
    session,
    clock,
    heard,
    bad,
):
    session.bytes_received(LINE + bad + LINE)
    clock.advance(0)
    assert heard.frames == [OUTPUT]
    assert len(heard.reasons) == 1
    assert heard.reasons[0].startswith('bad frame')


def test_a_line_without_end_loses_the_session(session, clock, heard):
    session.bytes_received(b'x' * (MAX_LINE_BYTES + 1))
    clock.advance(0)
    assert heard.reasons[0].startswith('bad frame')


def test_a_closed_session_tells_nothing_more(session, clock, heard):
    session.bytes_received(LINE)
    session.close()
    session.bytes_received(LINE)
    session.lost('late')
    clock.pump([1] * 9)
    assert not heard.frames
    assert not heard.reasons
    assert not clock.getDelayedCalls()


def test_frames_that_arrived_are_heard_before_the_loss(session, clock, heard):
    session.bytes_received(LINE)
    session.lost('closed')
    session.bytes_received(LINE)
    clock.advance(0)
    assert heard.frames == [OUTPUT]
    assert heard.reasons == ['closed']


def test_a_broken_invariant_in_the_listener_is_not_hidden():
    class Breaking(Heard):
        def frame_received(self, endpoint, frame):
            raise InvariantBroken(Invariant.WHOLE_OWN_ANSWER, 'a test')

    async def scenario(opened):
        caught = asyncio.get_running_loop().create_future()

        def observe(event):
            if 'log_failure' in event:
                caught.set_result(event['log_failure'].value)

        globalLogPublisher.addObserver(observe)
        try:
            HttpEngine(client()).open_session(opened, Breaking())
            return await caught
        finally:
            globalLogPublisher.removeObserver(observe)

    with raw_server({b'GET': HEAD + LINE}) as ports:
        broken = run(scenario(endpoint(ports)))
    assert isinstance(broken, InvariantBroken)


async def _lost_at(opened, timing=None):
    """Open a session with what listens there and wait until it is lost."""
    heard = Heard()
    adapter = HttpEngine(client(), timing)
    adapter.open_session(opened, heard)
    return await heard.lost(), heard.frames


def test_a_refused_connection_loses_the_session_once():
    with listening(engine((0, 2))) as ports:
        closed = endpoint(ports)
    reasons, _ = run(_lost_at(closed))
    assert len(reasons) == 1
    assert 'refused' in reasons[0].lower()


@pytest.mark.parametrize(
    ('sent', 'frames', 'reason'),
    [
        (HEAD + LINE, [OUTPUT], 'closed'),
        (HEAD + LINE + LINE[:9], [OUTPUT], 'closed'),
        (HEAD + LINE + b'?\n', [OUTPUT], 'bad frame'),
        (b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n', [], 'refused'),
        (b'not http at all\r\n\r\n', [], ''),
    ],
)
def test_what_a_broken_engine_sends_ends_with_a_reason(sent, frames, reason):
    with raw_server({b'GET': sent}) as ports:
        reasons, known = run(_lost_at(endpoint(ports)))
    assert known == frames
    assert len(reasons) == 1
    assert reason in reasons[0]


def test_connections_that_went_silent_lose_the_session():
    async def scenario(ports, standin):
        heard = Heard()
        timing = SessionTiming(heartbeat_s=0.01, silent_s=0.2)
        adapter = HttpEngine(client(), timing)
        adapter.open_session(endpoint(ports), heard)
        while not standin.sessions.count():
            await heard.turn()
        ports.silence()
        return await heard.lost()

    standin = engine((0, 2))
    with listening(standin) as ports:
        assert run(scenario(ports, standin)) == ['silent']


def test_an_engine_that_dies_loses_the_session_at_once():
    async def scenario(ports, standin):
        heard = Heard()
        HttpEngine(client()).open_session(endpoint(ports), heard)
        while not standin.sessions.count():
            await heard.turn()
        ports.abort()
        return await heard.lost()

    standin = engine((0, 2))
    with listening(standin) as ports:
        assert len(run(scenario(ports, standin))) == 1
