"""The two long-lived HTTP streams that carry a session's JSON lines."""

from typing import Any, Protocol, cast

from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure as Caught
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from foxtailhatch.core import Address
from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.outside.frames import DownFrame, Ping, Pong, UpFrame
from foxtailhatch.outside.frames_json import (
    MAX_LINE_BYTES,
    decode_down,
    encode_frame,
)
from foxtailhatch.outside.http_client import OK
from foxtailhatch.outside.line_splitter import LineSplitter, LineTooLong
from foxtailhatch.outside.link_streams import DownStream, UpStream


class LinkListener(Protocol):
    """Whoever hears what comes over a link."""

    def frame_received(self, frame: DownFrame) -> None:
        """Take one frame."""

    def link_lost(self, reason: str) -> None:
        """Learn that the link closed, failed or went silent."""


def _url(address: Address, name: str) -> str:
    """Return where the session called ``name`` has its streams."""
    return f'http://{address}/sessions/{name}'


class SessionLink:
    """An open link; it is lost once, for the first reason there is.

    The listener is called from the loop itself and never from inside
    Twisted's HTTP code, which would take a broken invariant for a broken
    connection and hide it.  From the loop, Twisted logs it as a failure that
    a log observer sees.
    """

    def __init__(
        self,
        listener: LinkListener,
        clock: ReactorClock,
        heartbeat_period_s: float,
        silence_timeout_s: float,
    ) -> None:
        """Start without a connection; frames sent now are kept."""
        self._listener: LinkListener | None = listener
        self._clock = clock
        self._heartbeat_s = heartbeat_period_s
        self._silent_s = silence_timeout_s
        self._heard_at = clock.seconds()
        self._beat_at = self._heard_at
        self._splitter = LineSplitter(MAX_LINE_BYTES)
        self._up: Any = UpStream()
        self._pending: list[bytes] = []
        self._arrived: list[bytes] = []
        self._reason: str | None = None
        self._requests: list[Deferred[IResponse]] = []
        self._pings = 0
        self._heartbeat: Any = cast(Any, LoopingCall(self._beat))
        self._heartbeat.clock = clock
        self._down = DownStream(self.bytes_received, self.lost)

    def open(self, agent: Agent, address: Address, name: str) -> None:
        """Begin both streams of the session called ``name``."""
        self._heartbeat.start(self._heartbeat_s)
        url = _url(address, name)
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
        """Close the link; the listener hears no more of it."""
        if self._listener is None:
            return
        self._listener = None
        self._heartbeat.stop()
        for request in self._requests:
            request.cancel()
        self._down.disconnect()

    def lost(self, reason: str) -> None:
        """Lose the link after the frames that have arrived."""
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
            listener.link_lost(self._reason)

    def _deliver_line(self, listener: LinkListener, line: bytes) -> None:
        """Hand over one frame, or lose the link for a bad one."""
        match decode_down(line):
            case Success(Pong()):
                return
            case Success(frame):
                listener.frame_received(frame)
            case Failure(reason):
                self.close()
                listener.link_lost(f'bad frame: {reason}')

    def _down_opened(self, response: Any) -> None:
        """Read the frames that come, if the engine agreed."""
        if response.code != OK:
            self.lost(f'refused with status {response.code}')
            return
        response.deliverBody(self._down)

    def _failed(self, caught: Caught) -> None:
        """Lose the link because one of its streams could not be had."""
        self.lost(caught.getErrorMessage())

    def _flush(self) -> None:
        """Write the frames of this loop turn."""
        lines = b''.join(self._pending)
        self._pending = []
        if self._listener is not None:
            self._up.write(lines)

    def _beat(self) -> None:
        """Lose a silent link, or ask for a sign of life if none came."""
        now = self._clock.seconds()
        heard_lately = self._heard_at > self._beat_at
        if now - self._beat_at > self._silent_s:
            # This process stood still itself; what came meanwhile is unread.
            self._heard_at = now
        self._beat_at = now
        if now - self._heard_at >= self._silent_s:
            self.lost('silent')
        elif not heard_lately:
            self._pings += 1
            self.send(Ping(self._pings))
