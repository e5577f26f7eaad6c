"""Link of a session: two long-lived HTTP streams of JSON lines."""

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
from foxtailhatch.relay.body_memory import BodyMemory


class LinkListener(Protocol):
    """Receiver of the frames and the loss of a link."""

    def frame_received(self, frame: DownFrame) -> None:
        """Receive a frame."""

    def link_lost(self, reason: str) -> None:
        """Receive the reason why the link closed, failed or timed out."""


def _url(address: Address, name: str) -> str:
    """Return the URL of the streams of the session called ``name``."""
    return f'http://{address}/sessions/{name}'


class SessionLink:
    """An open link; its loss is reported once, with the first reason.

    The listener is called from the event loop and never from Twisted's HTTP
    code, which would handle an ``InvariantViolation`` exception as a connection
    error and hide it.  From the loop, Twisted logs it as a failure, which a
    log observer receives.
    """

    def __init__(
        self,
        listener: LinkListener,
        clock: ReactorClock,
        heartbeat_period_s: float,
        silence_timeout_s: float,
        memory: BodyMemory | None = None,
    ) -> None:
        """Create a link without a connection; frames are buffered.

        The lines that have begun on all links share ``memory``.
        """
        self._listener: LinkListener | None = listener
        self._clock = clock
        self._heartbeat_s = heartbeat_period_s
        self._silent_s = silence_timeout_s
        self._last_received_at = clock.seconds()
        self._last_heartbeat_at = self._last_received_at
        self._splitter = LineSplitter(
            MAX_LINE_BYTES, (memory or BodyMemory()).hold()
        )
        self._up: Any = UpStream()
        self._unsent_lines: list[bytes] = []
        self._received_lines: list[bytes] = []
        self._loss_reason: str | None = None
        self._requests: list[Deferred[IResponse]] = []
        self._ping_number = 0
        self._pong_number = 0
        self._heartbeat: Any = cast(Any, LoopingCall(self._on_heartbeat))
        self._heartbeat.clock = clock
        self._down = DownStream(self.bytes_received, self.mark_lost)

    def open(self, agent: Agent, address: Address, name: str) -> None:
        """Open both streams of the session called ``name``."""
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
        up.addCallback(lambda _: self.mark_lost('closed'))
        for stream in self._requests:
            stream.addErrback(self._on_request_failed)

    def send(self, frame: UpFrame) -> None:
        """Queue a frame; all frames of a loop iteration are sent in one write."""
        if not self._unsent_lines:
            self._clock.callLater(0, self._flush)
        self._unsent_lines.append(encode_frame(frame))

    def close(self) -> None:
        """Close the link; the listener is not called any more."""
        if self._listener is None:
            return
        self._listener = None
        self._splitter.clear()
        self._heartbeat.stop()
        for request in self._requests:
            request.cancel()
        self._down.disconnect()

    def mark_lost(self, reason: str) -> None:
        """Report the loss after the frames that were received before it."""
        if self._loss_reason is None:
            self._schedule_delivery()
            self._loss_reason = reason

    def bytes_received(self, chunk: bytes) -> None:
        """Receive bytes of the down stream; too long a line loses the link."""
        self._last_received_at = self._clock.seconds()
        if self._loss_reason is not None or self._listener is None:
            return
        try:
            lines = self._splitter.feed(chunk)
        except LineTooLong as exc:
            self._splitter.clear()
            self.mark_lost(f'bad frame: {exc}')
            return
        if lines:
            self._schedule_delivery()
            self._received_lines.extend(lines)

    def _schedule_delivery(self) -> None:
        """Schedule the calls to the listener for the next loop iteration."""
        if not self._received_lines and self._loss_reason is None:
            self._clock.callLater(0, self._deliver)

    def _deliver(self) -> None:
        """Pass the received frames and then the loss, if any, to the listener."""
        lines = self._received_lines
        self._received_lines = []
        for line in lines:
            if self._listener is None:
                return
            self._deliver_line(self._listener, line)
        listener = self._listener
        if listener is not None and self._loss_reason is not None:
            self.close()
            listener.link_lost(self._loss_reason)

    def _deliver_line(self, listener: LinkListener, line: bytes) -> None:
        """Pass a frame to the listener; an invalid one loses the link."""
        match decode_down(line):
            case Success(Pong(number)):
                self._receive_pong(listener, number)
            case Success(frame):
                listener.frame_received(frame)
            case Failure(reason):
                self.close()
                listener.link_lost(f'bad frame: {reason}')

    def _receive_pong(self, listener: LinkListener, number: int) -> None:
        """Note a reply to a ping; one that replies to none loses the link."""
        if self._pong_number < number <= self._ping_number:
            self._pong_number = number
            return
        self.close()
        listener.link_lost('bad frame: pong without a ping')

    def _down_opened(self, response: Any) -> None:
        """Receive frames if the engine accepted the request."""
        if response.code != OK:
            self.mark_lost(f'refused with status {response.code}')
            return
        response.deliverBody(self._down)

    def _on_request_failed(self, caught: Caught) -> None:
        """Report the loss because one of the requests failed."""
        self.mark_lost(caught.getErrorMessage())

    def _flush(self) -> None:
        """Write the frames of this loop iteration."""
        lines = b''.join(self._unsent_lines)
        self._unsent_lines = []
        if self._listener is not None:
            self._up.write(lines)

    def _on_heartbeat(self) -> None:
        """Detect a silent link, and send a ping if nothing was received."""
        now = self._clock.seconds()
        received_since = self._last_received_at > self._last_heartbeat_at
        if now - self._last_heartbeat_at > self._silent_s:
            # This process was paused; received bytes may not have been read yet.
            self._last_received_at = now
        self._last_heartbeat_at = now
        if now - self._last_received_at >= self._silent_s:
            self.mark_lost('silent')
        elif not received_since:
            self._ping_number += 1
            self.send(Ping(self._ping_number))
