"""Page on which other entries ask and offer what concerns the leader lease."""

from typing import Any

from twisted.web.resource import Resource

from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.lease_peers import STATUS_REFUSED, encode_age

# An entry whose data are older does not take over: it would act on them.
UP_TO_DATE_S = 1.5


class LeasePage(Resource):
    """Tell the age of the configuration, and take an offer of the lease."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, board: Blackboard) -> None:
        """Note offers on ``board``."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._board = board

    def render_GET(self, _: Any) -> bytes:  # noqa: N802
        """Return the time since the configuration was confirmed."""
        return encode_age(self._board.configuration_age(self._board.clock()))

    def render_POST(self, req: Any) -> bytes:  # noqa: N802
        """Accept an offer if this entry is up to date and stays."""
        board = self._board
        now = board.clock()
        if not accepts_lease(board, now):
            req.setResponseCode(STATUS_REFUSED)
            return b''
        board.lease_offered_at = now
        return b'accepted'


def accepts_lease(board: Blackboard, now: float) -> bool:
    """Return whether this entry can hold the lease at once."""
    return (
        board.is_ready()
        and not board.is_cut_off_from_engines()
        and board.configuration_age(now) <= UP_TO_DATE_S
    )
