"""Record on the timeline whether callers got their answers."""

from foxtailhatch.callers.connections import CallerConnections, CutReason
from foxtailhatch.core import EventKind
from foxtailhatch.daemon.blackboard import Blackboard


class DeliveryRecorder:
    """Records delivered answers and cut requests as events."""

    def __init__(self, board: Blackboard) -> None:
        """Record on the timeline of ``board``."""
        self._board = board

    def record_delivered(self, request_id: str) -> None:
        """Record a delivered answer; short replies without id are left out."""
        if request_id:
            self._board.record(EventKind.ANSWER_DELIVERED, request_id)

    def record_cut(self, subject: str, reason: CutReason, cause: str) -> None:
        """Record a request whose caller did not get the whole answer."""
        self._board.record(
            EventKind.REQUEST_CUT, subject, f'{reason.value}; {cause}'
        )


class EntryConnections(CallerConnections):
    """The callers' connections of an entry, with events on its timeline."""

    def __init__(self, board: Blackboard) -> None:
        """Start without connections."""
        super().__init__(DeliveryRecorder(board))
