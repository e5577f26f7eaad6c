import asyncio
from dataclasses import replace

import pytest
from twisted.internet.task import Clock
from twisted.logger import globalLogPublisher

from foxtailhatch.core import (
    Address,
    Endpoint,
    EndpointKind,
    Invariant,
    InvariantViolation,
    LayerRange,
)
from foxtailhatch.outside import (
    CancelStage,
    OpenStage,
    StageFault,
    StageOutput,
    StageRefused,
    StepStage,
)
from foxtailhatch.outside.engine_http import HttpEngine
from foxtailhatch.outside.frames_json import encode_frame
from foxtailhatch.outside.session_http import (
    MAX_UNREQUESTED_FRAMES,
    HttpSession,
    SessionTiming,
)
from tests.outside.loop import SessionRecorder, run
from tests.outside.raw import raw_server
from tests.outside.standin import client, endpoint, engine, listening

ENGINE = Endpoint('ep', Address('127.0.0.1', 1), EndpointKind.ENGINE, 'whk-a')
IDLE_TIMEOUT_S = 10
OPEN = OpenStage('s', 1, 'toy', '1', LayerRange(0, 2))
OUTPUT = StageOutput('s', 1, LayerRange(0, 2), 0, ('a',))
LINE = encode_frame(OUTPUT)
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n'


class _FakeLink:
    def __init__(self):
        self.frames = []
        self.closed = False

    def send(self, frame):
        self.frames.append(frame)

    def close(self):
        self.closed = True


class _SessionCase:
    """A session that records its links in the order of their opening."""

    def __init__(self):
        self.clock = Clock()
        self.recorder = SessionRecorder()
        self.links = []
        self.session = HttpSession(
            ENGINE, self.recorder, self.connect, self.clock, IDLE_TIMEOUT_S
        )

    def connect(self, listener):
        self.links.append(_FakeLink())
        return self.links[-1]


def test_an_idle_session_closes_its_link_and_opens_a_new_one_to_send():
    case = _SessionCase()
    case.clock.advance(IDLE_TIMEOUT_S)
    assert case.links[0].closed
    case.session.send(OPEN)
    assert case.links[1].frames == [OPEN]
    assert not case.recorder.reasons


@pytest.mark.parametrize('frame', [OPEN, StepStage('s', 1, 0, (1,))])
def test_a_session_with_an_open_stream_keeps_its_link(frame):
    case = _SessionCase()
    case.session.send(frame)
    case.clock.pump([IDLE_TIMEOUT_S] * 3)
    assert not case.links[0].closed


def test_the_link_is_closed_after_the_last_stream_is_cancelled_or_refused():
    refused = StageRefused('s', 1, StageFault.FULL)
    for case, end_stream in (
        (_SessionCase(), lambda session: session.send(CancelStage('s', 1))),
        (_SessionCase(), lambda session: session.frame_received(refused)),
    ):
        case.session.send(OPEN)
        case.clock.advance(IDLE_TIMEOUT_S)
        end_stream(case.session)
        case.clock.advance(IDLE_TIMEOUT_S)
        assert case.links[0].closed


@pytest.mark.parametrize(
    'late',
    [StageRefused('s', 1, StageFault.STALE_ATTEMPT), CancelStage('s', 1)],
)
def test_a_frame_of_an_earlier_attempt_leaves_the_stream_open(late):
    case = _SessionCase()
    case.session.send(replace(OPEN, attempt=2))
    if isinstance(late, CancelStage):
        case.session.send(late)
    else:
        case.session.frame_received(late)
    case.clock.pump([IDLE_TIMEOUT_S] * 2)
    assert not case.links[0].closed


def test_a_lost_session_opens_no_new_link():
    case = _SessionCase()
    case.session.link_lost('silent')
    case.session.send(OPEN)
    assert case.recorder.reasons == ['silent']
    assert len(case.links) == 1
    assert not case.clock.getDelayedCalls()


def test_a_broken_invariant_in_the_listener_is_logged_as_a_failure():
    class Breaking(SessionRecorder):
        def frame_received(self, endpoint, frame):
            raise InvariantViolation(Invariant.COMPLETE_OWN_RESPONSE, 'a test')

    async def scenario(target):
        caught = asyncio.get_running_loop().create_future()

        def observe(event):
            if 'log_failure' in event:
                caught.set_result(event['log_failure'].value)

        globalLogPublisher.addObserver(observe)
        try:
            HttpEngine(client()).open_session(target, Breaking())
            return await caught
        finally:
            globalLogPublisher.removeObserver(observe)

    with raw_server({b'GET': HEAD + LINE}) as ports:
        broken = run(scenario(endpoint(ports)))
    assert isinstance(broken, InvariantViolation)


async def _wait_for_loss(target, timing=None):
    """Open a session with an endpoint and wait until it is lost."""
    recorder = SessionRecorder()
    adapter = HttpEngine(client(), timing)
    adapter.open_session(target, recorder)
    return await recorder.wait_for_loss(), recorder.frames


def test_a_refused_connection_loses_the_session_once():
    with listening(engine((0, 2))) as ports:
        closed = endpoint(ports)
    reasons, _ = run(_wait_for_loss(closed))
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
def test_an_invalid_response_loses_the_session_with_a_reason(
    sent, frames, reason
):
    with raw_server({b'GET': sent}) as ports:
        reasons, received = run(_wait_for_loss(endpoint(ports)))
    assert received == frames
    assert len(reasons) == 1
    assert reason in reasons[0]


def test_silent_connections_lose_the_session():
    async def scenario(ports, standin):
        recorder = SessionRecorder()
        timing = SessionTiming(heartbeat_period_s=0.01, silence_timeout_s=0.2)
        adapter = HttpEngine(client(), timing)
        adapter.open_session(endpoint(ports), recorder)
        while not standin.sessions.count():
            await recorder.run_loop_once()
        ports.silence()
        return await recorder.wait_for_loss()

    standin = engine((0, 2))
    with listening(standin) as ports:
        assert run(scenario(ports, standin)) == ['silent']


def test_a_connection_reset_loses_the_session_at_once():
    async def scenario(ports, standin):
        recorder = SessionRecorder()
        HttpEngine(client()).open_session(endpoint(ports), recorder)
        while not standin.sessions.count():
            await recorder.run_loop_once()
        ports.abort()
        return await recorder.wait_for_loss()

    standin = engine((0, 2))
    with listening(standin) as ports:
        assert len(run(scenario(ports, standin))) == 1


def test_a_closed_session_leaves_no_connection():
    async def scenario(ports, standin):
        recorder = SessionRecorder()
        session = HttpEngine(client()).open_session(endpoint(ports), recorder)
        while not standin.sessions.count():
            await recorder.run_loop_once()
        session.close()
        while ports.factory.protocols:
            await recorder.run_loop_once()
        return standin.sessions.count()

    standin = engine((0, 2))
    with listening(standin) as ports:
        assert run(scenario(ports, standin)) == 0


# Guards against an engine that repeats frames without end, each of which is
# dropped as known.
def test_frames_without_end_that_answer_none_lose_the_session():
    case = _SessionCase()
    case.session.send(OPEN)
    for _ in range(2 * MAX_UNREQUESTED_FRAMES):
        case.session.frame_received(OUTPUT)
    assert case.links[0].closed
    assert case.recorder.reasons == ['more frames than were requested']
    assert len(case.recorder.frames) == MAX_UNREQUESTED_FRAMES + 1


def test_each_frame_sent_allows_one_more():
    case = _SessionCase()
    for position in range(3 * MAX_UNREQUESTED_FRAMES):
        case.session.send(StepStage('s', 1, position, (1,)))
        case.session.frame_received(OUTPUT)
    assert not case.recorder.reasons
