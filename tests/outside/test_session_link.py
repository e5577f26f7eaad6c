import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from foxtailhatch.core import Address, LayerRange
from foxtailhatch.outside import Ping, Pong, StageOutput
from foxtailhatch.outside.frames_json import MAX_LINE_BYTES, encode_frame
from foxtailhatch.outside.line_splitter import MAX_LINE_PIECES
from foxtailhatch.outside.session_link import SessionLink
from foxtailhatch.relay.body_memory import BodyMemory

ENGINE = Address('127.0.0.1', 1)
OUTPUT = StageOutput('s', 1, LayerRange(0, 2), 0, ('a',))
LINE = encode_frame(OUTPUT)


class _FakeAgent:
    """An agent whose requests never get a response."""

    def __init__(self):
        self.bodies = []

    def request(self, method, url, headers=None, producer=None):
        self.bodies.append(producer)
        return Deferred()


class _LinkRecorder:
    def __init__(self):
        self.frames = []
        self.reasons = []

    def frame_received(self, frame):
        self.frames.append(frame)

    def link_lost(self, reason):
        self.reasons.append(reason)


class _FakeConsumer:
    def __init__(self):
        self.writes = []

    def write(self, chunk):
        self.writes.append(chunk)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def recorder():
    return _LinkRecorder()


@pytest.fixture
def consumer():
    return _FakeConsumer()


@pytest.fixture
def link(clock, recorder, consumer):
    session_link = SessionLink(
        recorder, clock, heartbeat_period_s=1, silence_timeout_s=3
    )
    agent = _FakeAgent()
    session_link.open(agent, ENGINE, 'one')
    clock.advance(0)
    agent.bodies[0].startProducing(consumer)
    return session_link


def test_a_link_without_bytes_is_lost_as_silent(link, clock, recorder):
    clock.pump([1, 1])
    assert not recorder.reasons
    clock.pump([1, 1, 1, 0])
    assert recorder.reasons == ['silent']


def test_any_byte_keeps_a_link(link, clock, recorder):
    for _ in range(6):
        clock.advance(1)
        link.bytes_received(b'{')
    assert not recorder.reasons


def test_a_pause_of_this_process_is_not_a_timeout(link, clock, recorder):
    clock.advance(30)
    assert not recorder.reasons
    clock.pump([1, 1, 1, 1, 0])
    assert recorder.reasons == ['silent']


def test_pings_are_sent_only_if_nothing_was_received(link, clock, consumer):
    consumer.writes.clear()
    for _ in range(6):
        clock.advance(0.5)
        link.bytes_received(b'{')
        clock.advance(0.5)
    assert not consumer.writes
    clock.advance(1)
    assert consumer.writes == [encode_frame(Ping(2))]


def test_frames_of_one_loop_iteration_are_sent_in_one_write(
    link, clock, consumer
):
    consumer.writes.clear()
    link.send(Ping(7))
    link.send(Ping(8))
    clock.advance(0)
    assert consumer.writes == [encode_frame(Ping(7)) + encode_frame(Ping(8))]


def test_frames_before_the_connection_are_sent_in_order(clock, recorder):
    session_link = SessionLink(
        recorder, clock, heartbeat_period_s=1, silence_timeout_s=3
    )
    agent = _FakeAgent()
    session_link.send(Ping(7))
    session_link.open(agent, ENGINE, 'one')
    clock.advance(0)
    session_link.send(Ping(8))
    clock.advance(0)
    consumer = _FakeConsumer()
    agent.bodies[0].startProducing(consumer)
    expected = b''.join(encode_frame(Ping(number)) for number in (7, 1, 8))
    assert consumer.writes == [expected]


def test_a_frame_in_two_chunks_is_received_once(link, clock, recorder):
    link.bytes_received(LINE[:9])
    clock.advance(0)
    assert not recorder.frames
    link.bytes_received(LINE[9:])
    clock.advance(0)
    assert recorder.frames == [OUTPUT]


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
def test_an_invalid_frame_loses_the_link_and_later_frames(
    link,
    clock,
    recorder,
    bad,
):
    link.bytes_received(LINE + bad + LINE)
    clock.advance(0)
    assert recorder.frames == [OUTPUT]
    assert len(recorder.reasons) == 1
    assert recorder.reasons[0].startswith('bad frame')


def test_too_long_a_line_loses_the_link(link, clock, recorder):
    link.bytes_received(b'x' * (MAX_LINE_BYTES + 1))
    clock.advance(0)
    assert recorder.reasons[0].startswith('bad frame')


def test_a_closed_link_does_not_call_its_listener(link, clock, recorder):
    link.bytes_received(LINE)
    link.close()
    link.bytes_received(LINE)
    link.mark_lost('late')
    clock.pump([1] * 9)
    assert not recorder.frames
    assert not recorder.reasons
    assert not clock.getDelayedCalls()


def test_frames_received_before_the_loss_are_delivered_first(
    link, clock, recorder
):
    link.bytes_received(LINE)
    link.mark_lost('closed')
    link.bytes_received(LINE)
    clock.advance(0)
    assert recorder.frames == [OUTPUT]
    assert recorder.reasons == ['closed']


def _links(clock, recorder, memory, number):
    links = [SessionLink(recorder, clock, 1, 3, memory) for _ in range(number)]
    for link in links:
        link.open(_FakeAgent(), ENGINE, 'one')
    return links


# Guards against lines without end on many sessions, each within its limit, that
# filled the memory together.
def test_the_lines_of_all_links_keep_within_the_memory(clock, recorder):
    memory = BodyMemory()
    links = _links(clock, recorder, memory, 100)
    for each in links * 200:
        each.bytes_received(b'x' * 10_000)
    clock.advance(0)
    kept = sum(len(each._splitter._part) for each in links)
    assert kept == memory.held_bytes <= 75_000_000
    assert 'bad frame: no memory is left for a line' in recorder.reasons


# Guards against a line in pieces of a few bytes, each kept as an object, that
# takes the loop's time.
def test_a_line_in_too_many_pieces_loses_the_link(clock, recorder):
    memory = BodyMemory()
    (link,) = _links(clock, recorder, memory, 1)
    for _ in range(MAX_LINE_PIECES):
        link.bytes_received(b'xy')
    assert memory.held_bytes == 2 * MAX_LINE_PIECES
    link.bytes_received(b'xy')
    assert memory.held_bytes == 0
    clock.advance(0)
    assert recorder.reasons[0].startswith('bad frame: a line has more than')


# Guards against memory that a closed link does not give back.
def test_a_closed_link_holds_no_memory(clock, recorder):
    memory = BodyMemory()
    (link,) = _links(clock, recorder, memory, 1)
    link.bytes_received(b'x' * 100)
    assert memory.held_bytes == 100
    link.close()
    link.bytes_received(b'x' * 100)
    assert memory.held_bytes == 0


# Guards against an engine that is heard without end by replies to nothing.
@pytest.mark.parametrize('numbers', [(2,), (0,), (-1,), (1, 1)])
def test_a_pong_without_a_ping_loses_the_link(link, clock, recorder, numbers):
    sent = b''.join(encode_frame(Pong(number)) for number in numbers)
    link.bytes_received(sent + LINE)
    clock.advance(0)
    assert recorder.reasons == ['bad frame: pong without a ping']
    assert not recorder.frames


def test_pongs_that_reply_to_pings_keep_the_link(link, clock, recorder):
    for number in range(1, 6):
        link.bytes_received(encode_frame(Pong(number)))
        clock.advance(1)
        clock.advance(1)
    assert not recorder.reasons
