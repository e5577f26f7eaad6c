"""Sessions of an engine, each a pair of long-lived HTTP streams."""

from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success
from twisted.web.server import Request, Site

from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.outside import DownFrame, StageOutput, UpFrame
from foxtailhatch.outside.frames_json import (
    MAX_LINE_BYTES,
    decode_up,
    encode_frame,
)
from foxtailhatch.outside.line_splitter import LineSplitter, LineTooLong
from standins.faults import Faults

Receive = Callable[['Session', UpFrame], None]


class Session:
    """A session; frames sent before the down stream opens are buffered."""

    def __init__(self, name: str, sessions: 'SessionRegistry') -> None:
        """Create a session with neither stream attached."""
        self.name = name
        self.closed = False
        self.last_received_at = sessions.clock.seconds()
        self._sessions = sessions
        self._splitter = LineSplitter(MAX_LINE_BYTES)
        self._down: Request | None = None
        self._up: Request | None = None
        self._pending: list[bytes] = []
        self._reordered_line: bytes = b''

    def open_down(self, req: Request) -> None:
        """Attach the request whose response carries the frames to the entry."""
        self._down = req
        req.setHeader(b'content-type', b'application/x-ndjson')
        req.write(b'')
        self._flush()

    def open_up(self, req: Request) -> None:
        """Attach the request whose body carries the frames from the entry."""
        self._up = req

    def is_complete(self) -> bool:
        """Return whether both streams are attached."""
        return self._down is not None and self._up is not None

    def feed(self, chunk: bytes) -> None:
        """Process up-stream bytes; a malformed frame closes the session."""
        self.last_received_at = self._sessions.clock.seconds()
        try:
            lines = self._splitter.feed(chunk)
        except LineTooLong:
            self.close()
            return
        for line in lines:
            if self.closed:
                return
            match decode_up(line):
                case Success(frame):
                    self._sessions.receive(self, frame)
                case Failure(_):
                    self.close()

    def send(self, frame: DownFrame) -> None:
        """Queue a frame; one write sends all frames of a loop iteration."""
        line = encode_frame(frame)
        if isinstance(frame, StageOutput):
            line = self._apply_faults(line, self._sessions.faults)
        self._queue(line)

    def close(self) -> None:
        """Close both streams and remove the session."""
        if self.closed:
            return
        self.closed = True
        self._sessions.remove(self)
        for req in (self._down, self._up):
            if req is not None:
                req.loseConnection()

    def _apply_faults(self, line: bytes, faults: Faults) -> bytes:
        """Duplicate, delay or reorder a line according to the faults."""
        if faults.consume('duplicate'):
            return line + line
        clock = self._sessions.clock
        if faults.consume('late'):
            clock.callLater(faults.late_s, self._queue, line)
            return b''
        if self._reordered_line:
            line += self._reordered_line
            self._reordered_line = b''
        elif faults.consume('reorder'):
            self._reordered_line = line
            clock.callLater(faults.late_s, self._send_reordered)
            return b''
        return line

    def _send_reordered(self) -> None:
        """Send the withheld line if no other line has been sent since."""
        self._queue(self._reordered_line)
        self._reordered_line = b''

    def _queue(self, line: bytes) -> None:
        """Buffer a line until the end of this loop iteration."""
        if not line:
            return
        if not self._pending:
            self._sessions.clock.callLater(0, self._flush)
        self._pending.append(line)

    def _flush(self) -> None:
        """Write the buffered lines to the down stream."""
        if self._down is None or self.closed or not self._pending:
            return
        self._down.write(b''.join(self._pending))
        self._pending = []


class SessionRegistry:
    """Registry of the open sessions of an engine, by name."""

    def __init__(
        self,
        clock: ReactorClock,
        faults: Faults,
        receive: Receive,
    ) -> None:
        """Create a registry; ``receive`` is called with every frame."""
        self.clock = clock
        self.faults = faults
        self.receive = receive
        self._open: dict[str, Session] = {}

    def session(self, name: str) -> Session:
        """Return the session with this name, creating it if necessary."""
        return self._open.setdefault(name, Session(name, self))

    def is_open(self, name: str) -> bool:
        """Return whether a session with this name is open."""
        return name in self._open

    def count(self) -> int:
        """Return the number of sessions with both streams attached."""
        return sum(session.is_complete() for session in self._open.values())

    def close_inactive(self, oldest: float) -> None:
        """Close the sessions that last received data before ``oldest``."""
        for session in tuple(self._open.values()):
            if session.last_received_at < oldest:
                session.close()

    def remove(self, session: Session) -> None:
        """Remove a closed session from the registry."""
        self._open.pop(session.name, None)


class SessionRequest(Request):
    """An HTTP request whose body may be the up stream of a session."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Create a request that belongs to no session."""
        Request.__init__(self, *args, **kwargs)
        self.up_session: Session | None = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Attach a chunked request with ``X-Session`` to its session."""
        Request.gotLength(self, length)
        name = self.getHeader(b'x-session')
        channel: Any = self.channel
        if name is not None and length is None:
            session = channel.site.engine_sessions.session(name.decode())
            session.open_up(self)
            self.up_session = session

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Forward body bytes of an up stream to the session on arrival."""
        if self.up_session is None:
            Request.handleContentChunk(self, data)
        else:
            self.up_session.feed(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Close the session when its connection is lost."""
        if self.up_session is not None:
            self.up_session.close()
        Request.connectionLost(self, reason)


class SessionSite(Site):
    """Site that serves session streams besides single calls."""

    requestFactory = SessionRequest
    engine_sessions: SessionRegistry

    @classmethod
    def create(cls, app: Any, reactor: Any) -> 'SessionSite':
        """Return a site without an idle timeout."""
        return cls(app, reactor=reactor, timeout=None)
