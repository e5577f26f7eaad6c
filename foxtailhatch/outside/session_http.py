"""One session with one engine, on a link that rests while nothing is open."""

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


@dataclass(frozen=True, slots=True)
class SessionTiming:
    """How often a session pings, and after what silence it is lost.

    The silence counts from the opening on, so that it bounds the connect.
    After ``idle_s`` without an open stream the connections are closed.
    """

    heartbeat_period_s: float = HEARTBEAT_PERIOD_S
    silence_timeout_s: float = SILENCE_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


Connect = Callable[[LinkListener], SessionLink]


class HttpSession:
    """An open session; the next frame opens a new link if it rests.

    An entry may have sessions with a thousand engines and streams on few of
    them.  A resting session costs no heartbeat, and its next stream does not
    meet a connection that went silent meanwhile.
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
        # The newest attempt of each open stream.
        self._streams: dict[str, int] = {}
        self._rest_call: Any = None
        self._link: SessionLink | None = connect(self)
        self._rest_later()

    def send(self, frame: UpFrame) -> None:
        """Queue a frame; frames of one loop turn leave in one write."""
        if self._closed:
            return
        if self._link is None:
            self._link = self._connect(self)
        self._link.send(frame)
        if isinstance(frame, CancelStage):
            self._forget(frame)
        elif not isinstance(frame, Ping):
            self._streams[frame.stream] = frame.attempt

    def close(self) -> None:
        """Close the session; the listener hears no more of it."""
        self._closed = True
        self._streams.clear()
        self._rest()

    def frame_received(self, frame: DownFrame) -> None:
        """Pass a frame on; a stream that was refused is not open."""
        if isinstance(frame, StageRefused):
            self._forget(frame)
        self._listener.frame_received(self.endpoint.name, frame)

    def link_lost(self, reason: str) -> None:
        """Lose the session with its link."""
        self.close()
        self._listener.session_lost(self.endpoint.name, reason)

    def _forget(self, frame: CancelStage | StageRefused) -> None:
        """Let the session rest soon if this ended the last open stream."""
        newest = self._streams.get(frame.stream)
        if newest is not None and newest <= frame.attempt:
            self._streams.pop(frame.stream)
        if not self._streams:
            self._rest_later()

    def _rest_later(self) -> None:
        """Look in a while whether any stream is open."""
        if self._rest_call is None:
            self._rest_call = self._clock.callLater(self._idle_s, self._look)

    def _look(self) -> None:
        """Rest if no stream is open."""
        self._rest_call = None
        if not self._streams:
            self._rest()

    def _rest(self) -> None:
        """Close the link, if there is one."""
        if self._link is not None:
            self._link.close()
            self._link = None
        if self._rest_call is not None:
            self._rest_call.cancel()
            self._rest_call = None
