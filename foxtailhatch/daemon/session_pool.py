"""The sessions with engines, shared by the answers of this entry."""

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from foxtailhatch.core import Endpoint
from foxtailhatch.daemon.guard import Guard
from foxtailhatch.outside.frames import DownFrame, Pong, UpFrame
from foxtailhatch.outside.protocols import Engine, EngineSession


class AnswerListener(Protocol):
    """Receives the frames of one answer and the losses of its sessions."""

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Handle a frame of this answer's stream."""

    def endpoint_lost(self, endpoint: str) -> None:
        """Handle the loss of the session with an endpoint."""


class SessionObserver(Protocol):
    """Is notified of opened and lost sessions."""

    def session_opened(self, endpoint: str) -> None:
        """Handle the opening of a session."""

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Handle the loss of a session, with its reason."""


class SessionPool:
    """Open one session for each endpoint on demand, shared by all answers.

    Received frames are routed to the answer registered for their stream.
    Frames of unregistered streams are dropped and counted in
    ``unrouted_frames``.
    """

    def __init__(
        self,
        engine: Engine,
        find_endpoint: Callable[[str], Endpoint | None],
        observer: SessionObserver,
        guard: Guard,
    ) -> None:
        """Start without sessions; ``find_endpoint`` looks endpoints up."""
        self.unrouted_frames = 0
        self._guard = guard
        self._engine = engine
        self._find_endpoint = find_endpoint
        self._observer = observer
        self._sessions: dict[str, EngineSession] = {}
        self._answers: dict[str, AnswerListener] = {}
        self._users: defaultdict[str, set[str]] = defaultdict(set)

    def register(self, stream: str, answer: AnswerListener) -> None:
        """Route the frames of a stream to ``answer``."""
        self._answers[stream] = answer

    def unregister(self, stream: str) -> None:
        """Stop routing the frames of a stream; later ones are dropped."""
        self._answers.pop(stream, None)
        for users in self._users.values():
            users.discard(stream)

    def send(self, stream: str, endpoint: str, frame: UpFrame) -> bool:
        """Send a frame of a stream; return whether the endpoint is known."""
        session = self._sessions.get(endpoint) or self._connect(endpoint)
        if session is None:
            return False
        if stream in self._answers:
            self._users[endpoint].add(stream)
        session.send(frame)
        return True

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Route a frame to the answer of its stream."""
        if isinstance(frame, Pong):
            return
        answer = self._answers.get(frame.stream)
        if answer is None:
            self.unrouted_frames += 1
            return
        self._guard.run(answer.frame_received, endpoint, frame)

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Notify every answer that used the session of its loss."""
        if self._sessions.pop(endpoint, None) is None:
            return
        self._observer.session_lost(endpoint, reason)
        for stream in sorted(self._users.pop(endpoint, ())):
            answer = self._answers.get(stream)
            if answer is not None:
                self._guard.run(answer.endpoint_lost, endpoint)

    def close(self) -> None:
        """Close every session."""
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def _connect(self, endpoint: str) -> EngineSession | None:
        target = self._find_endpoint(endpoint)
        if target is None:
            return None
        session = self._engine.open_session(target, self)
        self._sessions[endpoint] = session
        self._observer.session_opened(endpoint)
        return session
