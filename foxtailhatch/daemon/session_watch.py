"""How sessions with engines fare, told to the blackboard."""

from foxtailhatch.core import EventKind
from foxtailhatch.daemon.blackboard import Blackboard


class SessionWatch:
    """Keep the endpoint table, the health and the time line up to date."""

    def __init__(self, board: Blackboard) -> None:
        """Start with no session."""
        self.open: set[str] = set()
        self.lost = 0
        self._board = board

    def session_opened(self, endpoint: str) -> None:
        """Learn that a session was opened."""
        self.open.add(endpoint)
        self._board.record(EventKind.SESSION_OPENED, endpoint)

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Learn that a session was lost, and why."""
        self.open.discard(endpoint)
        self.lost += 1
        self._board.record(EventKind.SESSION_LOST, endpoint, reason)
