"""The HTTP front of an engine: whole calls and the sessions' streams."""

from typing import Any

from twisted.web.server import NOT_DONE_YET

from standins.engine_sessions import SessionRegistry, SessionRequest
from standins.http_app import CallHandler, JsonApp


class EngineApp(JsonApp):
    """The engine's calls, and the streams of its sessions."""

    def __init__(self, answer: CallHandler, sessions: SessionRegistry) -> None:
        """Take the function for whole calls and the sessions."""
        super().__init__(answer)
        self.sessions = sessions

    def render(self, req: Any) -> bytes | int:
        """Answer a whole call, or begin or end a stream."""
        match req.path.decode().strip('/').split('/'):
            case ['sessions', name, 'down'] if req.method == b'GET':
                session = self.sessions.session(name)
                req.notifyFinish().addErrback(lambda _: session.close())
                session.open_down(req)
                return NOT_DONE_YET
            case ['sessions', _, 'up']:
                return _end_up(req)
        return super().render(req)


def _end_up(req: SessionRequest) -> bytes:
    """Close the session of an up stream that ended."""
    if req.up_session is not None:
        req.up_session.close()
    return b'{}'
