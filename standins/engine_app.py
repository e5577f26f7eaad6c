"""HTTP application of an engine: single calls and session streams."""

from typing import Any

from twisted.web.server import NOT_DONE_YET

from standins.engine_sessions import SessionRegistry, SessionRequest
from standins.http_app import CallHandler, JsonApp


class EngineApp(JsonApp):
    """Resource for the calls and the session streams of an engine."""

    def __init__(self, answer: CallHandler, sessions: SessionRegistry) -> None:
        """Store the handler of single calls and the session registry."""
        super().__init__(answer)
        self.sessions = sessions

    def render(self, req: Any) -> bytes | int:
        """Open or end a session stream, or respond to a single call."""
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
    """Close the session when its up stream has ended."""
    if req.up_session is not None:
        req.up_session.close()
    return b'{}'
