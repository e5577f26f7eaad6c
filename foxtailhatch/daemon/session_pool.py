"""The sessions with engines, shared by all answers of this entry."""

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from foxtailhatch.core import Endpoint
from foxtailhatch.daemon.guard import Guard
from foxtailhatch.outside.frames import DownFrame, Pong, UpFrame
from foxtailhatch.outside.protocols import Engine, EngineSession


class AnswerListener(Protocol):
    """An answer in progress, as the sessions see it."""

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Take a frame about this answer's stream."""

    def endpoint_lost(self, endpoint: str) -> None:
        """Learn that the session with an endpoint is gone."""


class SessionObserver(Protocol):
    """Whoever counts how sessions fare."""

    def session_opened(self, endpoint: str) -> None:
        """Learn that a session was opened."""

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Learn that a session was lost, and why."""


class SessionPool:
    """Open one session an endpoint on demand and share it among answers.

    Frames go to the answer that their stream names; a frame of a stream that
    nobody here has any more is counted in ``strays`` and dropped.
    """

    def __init__(
        self,
        engine: Engine,
        find_endpoint: Callable[[str], Endpoint | None],
        observer: SessionObserver,
        guard: Guard,
    ) -> None:
        """Start with no session; ``find`` knows the endpoints by name."""
        self.unrouted_frames = 0
        self._guard = guard
        self._engine = engine
        self._find_endpoint = find_endpoint
        self._observer = observer
        self._sessions: dict[str, EngineSession] = {}
        self._answers: dict[str, AnswerListener] = {}
        self._users: defaultdict[str, set[str]] = defaultdict(set)

    def register(self, stream: str, answer: AnswerListener) -> None:
        """Direct the frames of a stream to an answer."""
        self._answers[stream] = answer

    def unregister(self, stream: str) -> None:
        """Forget a stream; later frames of it are strays."""
        self._answers.pop(stream, None)
        for users in self._users.values():
            users.discard(stream)

    def send(self, stream: str, endpoint: str, frame: UpFrame) -> bool:
        """Send a frame for a stream; ``False`` if the endpoint is unknown."""
        session = self._sessions.get(endpoint) or self._connect(endpoint)
        if session is None:
            return False
        if stream in self._answers:
            self._users[endpoint].add(stream)
        session.send(frame)
        return True

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Pass a frame on to the answer it is about."""
        if isinstance(frame, Pong):
            return
        answer = self._answers.get(frame.stream)
        if answer is None:
            self.unrouted_frames += 1
            return
        self._guard.run(answer.frame_received, endpoint, frame)

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Tell every answer that used the session."""
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
