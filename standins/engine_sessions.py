"""The sessions of an engine: two long-lived HTTP streams each."""

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
    """One session; frames sent before the down stream opens are kept."""

    def __init__(self, name: str, sessions: 'SessionRegistry') -> None:
        """Start a session of which one stream is about to open."""
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
        """Start to answer the request that reads the frames."""
        self._down = req
        req.setHeader(b'content-type', b'application/x-ndjson')
        req.write(b'')
        self._flush()

    def open_up(self, req: Request) -> None:
        """Learn which request brings the frames."""
        self._up = req

    def is_complete(self) -> bool:
        """Tell whether both streams are there."""
        return self._down is not None and self._up is not None

    def feed(self, chunk: bytes) -> None:
        """Take bytes of the up stream; a bad frame closes the session."""
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
        """Queue a frame; those of one loop turn leave in one write."""
        line = encode_frame(frame)
        if isinstance(frame, StageOutput):
            line = self._apply_faults(line, self._sessions.faults)
        self._queue(line)

    def close(self) -> None:
        """End both streams."""
        if self.closed:
            return
        self.closed = True
        self._sessions.remove(self)
        for req in (self._down, self._up):
            if req is not None:
                req.loseConnection()

    def _apply_faults(self, line: bytes, faults: Faults) -> bytes:
        """Double a line or hold it back, as the faults say."""
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
        """Send the line that was held back, if no other came since."""
        self._queue(self._reordered_line)
        self._reordered_line = b''

    def _queue(self, line: bytes) -> None:
        """Keep a line until the end of this loop turn."""
        if not line:
            return
        if not self._pending:
            self._sessions.clock.callLater(0, self._flush)
        self._pending.append(line)

    def _flush(self) -> None:
        """Write what is pending."""
        if self._down is None or self.closed or not self._pending:
            return
        self._down.write(b''.join(self._pending))
        self._pending = []


class SessionRegistry:
    """The open sessions of an engine, by name."""

    def __init__(
        self,
        clock: ReactorClock,
        faults: Faults,
        receive: Receive,
    ) -> None:
        """Take the function that hears every frame."""
        self.clock = clock
        self.faults = faults
        self.receive = receive
        self._open: dict[str, Session] = {}

    def session(self, name: str) -> Session:
        """Return the session of a name, a new one if none is open."""
        return self._open.setdefault(name, Session(name, self))

    def is_open(self, name: str) -> bool:
        """Tell whether a session of this name is open."""
        return name in self._open

    def count(self) -> int:
        """Return how many sessions have both of their streams."""
        return sum(session.is_complete() for session in self._open.values())

    def close_inactive(self, oldest: float) -> None:
        """Close the sessions that were last heard before a time."""
        for session in tuple(self._open.values()):
            if session.last_received_at < oldest:
                session.close()

    def remove(self, session: Session) -> None:
        """Drop a closed session."""
        self._open.pop(session.name, None)


class SessionRequest(Request):
    """An HTTP request whose body may be the up stream of a session."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start without a session."""
        Request.__init__(self, *args, **kwargs)
        self.up_session: Session | None = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Find the session when the headers are read."""
        Request.gotLength(self, length)
        name = self.getHeader(b'x-session')
        channel: Any = self.channel
        if name is not None and length is None:
            session = channel.site.engine_sessions.session(name.decode())
            session.open_up(self)
            self.up_session = session

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Hand the bytes to the session as they arrive."""
        if self.up_session is None:
            Request.handleContentChunk(self, data)
        else:
            self.up_session.feed(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Close the session with its connection."""
        if self.up_session is not None:
            self.up_session.close()
        Request.connectionLost(self, reason)


class SessionSite(Site):
    """A site some of whose requests are streams of sessions."""

    requestFactory = SessionRequest
    engine_sessions: SessionRegistry

    @classmethod
    def create(cls, app: Any, reactor: Any) -> 'SessionSite':
        """Return a site whose connections may be idle for any time."""
        return cls(app, reactor=reactor, timeout=None)
