"""Session with an engine, whose link is closed while it is idle."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from foxtailhatch.core import Endpoint
from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.outside.frames import (
    CancelStage,
    DownFrame,
    Ping,
    StageRefused,
    UpFrame,
)
from foxtailhatch.outside.protocols import SessionListener
from foxtailhatch.outside.session_link import LinkListener, SessionLink

HEARTBEAT_PERIOD_S: Final = 0.5
SILENCE_TIMEOUT_S: Final = 2.0
IDLE_TIMEOUT_S: Final = 10.0
# A frame is sent once for each that it answers.  Those of an earlier session
# may come on the next one.
MAX_UNREQUESTED_FRAMES: Final = 1000


@dataclass(frozen=True, slots=True)
class SessionTiming:
    """Heartbeat period and timeouts of a session.

    A session is lost after ``silence_timeout_s`` without a received byte,
    counted from its opening, so that the connect is limited too.  Its
    connections are closed after ``idle_timeout_s`` without an open stream.
    """

    heartbeat_period_s: float = HEARTBEAT_PERIOD_S
    silence_timeout_s: float = SILENCE_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


Connect = Callable[[LinkListener], SessionLink]


class HttpSession:
    """An open session; a frame on an idle session opens a new link.

    An entry may have sessions with a thousand engines but streams on only a
    few of them.  An idle session sends no heartbeats, and its next stream
    does not use a connection that has failed unnoticed.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        listener: SessionListener,
        connect: Connect,
        clock: ReactorClock,
        idle_timeout_s: float,
    ) -> None:
        """Open the first link at once."""
        self.endpoint = endpoint
        self._listener = listener
        self._connect = connect
        self._clock = clock
        self._idle_s = idle_timeout_s
        self._closed = False
        # The latest attempt of each open stream.
        self._open_streams: dict[str, int] = {}
        # How many frames of the engine would answer no frame sent to it.
        self._unrequested = 0
        self._idle_call: Any = None
        self._link: SessionLink | None = connect(self)
        self._schedule_idle_check()

    def send(self, frame: UpFrame) -> None:
        """Queue a frame; all frames of a loop iteration are sent in one write."""
        if self._closed:
            return
        if self._link is None:
            self._link = self._connect(self)
        self._link.send(frame)
        if isinstance(frame, CancelStage):
            self._remove_stream(frame)
        elif not isinstance(frame, Ping):
            self._open_streams[frame.stream] = frame.attempt
            self._unrequested -= 1

    def close(self) -> None:
        """Close the session; the listener is not called any more."""
        self._closed = True
        self._open_streams.clear()
        self._close_link()

    def frame_received(self, frame: DownFrame) -> None:
        """Pass a frame to the listener; a refused stream is not open.

        Frames without end that answer none take the loop's time, and none of
        them is missed: the session is lost.
        """
        if self._closed:
            return
        self._unrequested += 1
        if self._unrequested > MAX_UNREQUESTED_FRAMES:
            self.link_lost('more frames than were requested')
            return
        if isinstance(frame, StageRefused):
            self._remove_stream(frame)
        self._listener.frame_received(self.endpoint.name, frame)

    def link_lost(self, reason: str) -> None:
        """Close the session because its link was lost."""
        self.close()
        self._listener.session_lost(self.endpoint.name, reason)

    def _remove_stream(self, frame: CancelStage | StageRefused) -> None:
        """Remove the stream, unless it has a later attempt."""
        latest = self._open_streams.get(frame.stream)
        if latest is not None and latest <= frame.attempt:
            self._open_streams.pop(frame.stream)
        if not self._open_streams:
            self._schedule_idle_check()

    def _schedule_idle_check(self) -> None:
        """Schedule a check after ``idle_timeout_s``."""
        if self._idle_call is None:
            self._idle_call = self._clock.callLater(
                self._idle_s, self._check_idle
            )

    def _check_idle(self) -> None:
        """Close the link if no stream is open."""
        self._idle_call = None
        if not self._open_streams:
            self._close_link()

    def _close_link(self) -> None:
        """Close the link, if any, and cancel the idle check."""
        if self._link is not None:
            self._link.close()
            self._link = None
        if self._idle_call is not None:
            self._idle_call.cancel()
            self._idle_call = None
