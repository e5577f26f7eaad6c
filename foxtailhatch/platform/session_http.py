"""One session with one engine: two long-lived HTTP streams of JSON lines."""

from dataclasses import dataclass
from typing import Any, Final, cast

from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure as Caught
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer, IResponse
from zope.interface import implementer

from foxtailhatch.core import Endpoint
from foxtailhatch.core.loop_clock import LoopClock
from foxtailhatch.platform.frames import Ping, Pong, UpFrame
from foxtailhatch.platform.frames_json import (
    MAX_LINE_BYTES,
    decode_down,
    encode_frame,
)
from foxtailhatch.platform.http_client import OK
from foxtailhatch.platform.lines import LineSplitter, LineTooLong
from foxtailhatch.platform.protocols import SessionListener

HEARTBEAT_S: Final = 0.5
SILENT_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class SessionTiming:
    """How often a session pings, and after what silence it is lost.

    The silence counts from the opening on, so that it bounds the connect.
    """

    heartbeat_s: float = HEARTBEAT_S
    silent_s: float = SILENT_S


def _url(endpoint: Endpoint, name: str) -> str:
    """Return where the session called ``name`` has its streams."""
    return f'http://{endpoint.address}/sessions/{name}'


@implementer(IBodyProducer)
class _UpStream:
    """The request body that carries frames to the engine."""

    length = UNKNOWN_LENGTH

    def __init__(self) -> None:
        """Keep what is written before the connection is there."""
        self._consumer: Any = None
        self._kept: list[bytes] = []
        self._ended: Deferred[None] = Deferred()

    def startProducing(  # noqa: N802
        self,
        consumer: Any,
    ) -> 'Deferred[None]':
        """Write what was kept and go on writing until closed."""
        self._consumer = consumer
        self.write(b''.join(self._kept))
        self._kept = []
        return self._ended

    def write(self, lines: bytes) -> None:
        """Send lines now, or as soon as the connection is there."""
        if self._consumer is None:
            self._kept.append(lines)
        elif lines:
            self._consumer.write(lines)

    def stopProducing(self) -> None:  # noqa: N802
        """Write nothing more."""
        self._consumer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Go on: frames are bounded by the answers in progress."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on."""


class _DownStream(Protocol):
    """The response body that carries frames from the engine."""

    def __init__(self, session: 'HttpSession') -> None:
        """Take the session that hears the bytes."""
        self.session = session

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Hand over bytes as they arrive."""
        self.session.bytes_received(data)

    def connectionLost(  # noqa: N802
        self,
        reason: Caught = connectionDone,
    ) -> None:
        """Tell the session that its stream ended."""
        self.session.lost('closed')

    def disconnect(self) -> None:
        """Close the connection if there is one."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class HttpSession:
    """An open session; it is lost once, for the first reason there is.

    The listener is called from the loop itself and never from inside
    Twisted's HTTP code, which would take a broken invariant for a broken
    connection and hide it.  From the loop, Twisted logs it as a failure that
    a log observer sees.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        listener: SessionListener,
        clock: LoopClock,
        timing: SessionTiming,
    ) -> None:
        """Start without a connection; frames sent now are kept."""
        self.endpoint = endpoint
        self._listener: SessionListener | None = listener
        self._clock = clock
        self._timing = timing
        self._heard_at = clock.seconds()
        self._beat_at = self._heard_at
        self._splitter = LineSplitter(MAX_LINE_BYTES)
        self._up: Any = _UpStream()
        self._pending: list[bytes] = []
        self._arrived: list[bytes] = []
        self._reason: str | None = None
        self._requests: list[Deferred[IResponse]] = []
        self._pings = 0
        self._heartbeat: Any = cast(Any, LoopingCall(self._beat))
        self._heartbeat.clock = clock
        self._down = _DownStream(self)

    def open(self, agent: Agent, name: str) -> None:
        """Begin both streams of the session called ``name``."""
        self._heartbeat.start(self._timing.heartbeat_s)
        url = _url(self.endpoint, name)
        headers = Headers({'X-Session': [name]})
        up = agent.request(
            b'POST',
            f'{url}/up'.encode(),
            headers,
            self._up,
        )
        down = agent.request(b'GET', f'{url}/down'.encode())
        self._requests = [up, down]
        down.addCallback(self._down_opened)
        up.addCallback(lambda _: self.lost('closed'))
        for stream in self._requests:
            stream.addErrback(self._failed)

    def send(self, frame: UpFrame) -> None:
        """Queue a frame; frames of one loop turn leave in one write."""
        if not self._pending:
            self._clock.callLater(0, self._flush)
        self._pending.append(encode_frame(frame))

    def close(self) -> None:
        """Close the session; the listener hears no more of it."""
        if self._listener is None:
            return
        self._listener = None
        self._heartbeat.stop()
        for request in self._requests:
            request.cancel()
        self._down.disconnect()

    def lost(self, reason: str) -> None:
        """Lose the session after the frames that have arrived."""
        if self._reason is None:
            self._deliver_soon()
            self._reason = reason

    def bytes_received(self, chunk: bytes) -> None:
        """Take bytes of the down stream; a line without end is a fault."""
        self._heard_at = self._clock.seconds()
        if self._reason is not None:
            return
        try:
            lines = self._splitter.feed(chunk)
        except LineTooLong as exc:
            self.lost(f'bad frame: {exc}')
            return
        if lines:
            self._deliver_soon()
            self._arrived.extend(lines)

    def _deliver_soon(self) -> None:
        """Have the listener called in the next turn of the loop."""
        if not self._arrived and self._reason is None:
            self._clock.callLater(0, self._deliver)

    def _deliver(self) -> None:
        """Hand over what arrived; the loss, if any, comes last."""
        lines = self._arrived
        self._arrived = []
        for line in lines:
            if self._listener is None:
                return
            self._deliver_line(self._listener, line)
        listener = self._listener
        if listener is not None and self._reason is not None:
            self.close()
            listener.session_lost(self.endpoint.name, self._reason)

    def _deliver_line(self, listener: SessionListener, line: bytes) -> None:
        """Hand over one frame, or lose the session for a bad one."""
        match decode_down(line):
            case Success(Pong()):
                return
            case Success(frame):
                listener.frame_received(self.endpoint.name, frame)
            case Failure(reason):
                self.close()
                listener.session_lost(
                    self.endpoint.name,
                    f'bad frame: {reason}',
                )

    def _down_opened(self, response: Any) -> None:
        """Read the frames that come, if the engine agreed."""
        if response.code != OK:
            self.lost(f'refused with status {response.code}')
            return
        response.deliverBody(self._down)

    def _failed(self, caught: Caught) -> None:
        """Lose the session because one of its streams could not be had."""
        self.lost(caught.getErrorMessage())

    def _flush(self) -> None:
        """Write the frames of this loop turn."""
        lines = b''.join(self._pending)
        self._pending = []
        if self._listener is not None:
            self._up.write(lines)

    def _beat(self) -> None:
        """Lose a silent session, or ask for a sign of life."""
        now = self._clock.seconds()
        if now - self._beat_at > self._timing.silent_s:
            # This process stood still itself; what came meanwhile is unread.
            self._heard_at = now
        self._beat_at = now
        silence_s = now - self._heard_at
        if silence_s >= self._timing.silent_s:
            self.lost('silent')
            return
        self._pings += 1
        self.send(Ping(self._pings))
