"""Page on which other entries ask what this one has seen of the store."""

from typing import Any

from twisted.web.resource import Resource

from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.outage_peers import encode_view

STATUS_UNKNOWN = 404


class OutagePage(Resource):
    """Tell since when this entry reads the store, and its last failed read."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, board: Blackboard) -> None:
        """Read what is known from ``board``."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._board = board

    def render_GET(self, req: Any) -> bytes:  # noqa: N802
        """Return the ages of what this entry has seen."""
        view = self._board.outage.view()
        if view is None:
            req.setResponseCode(STATUS_UNKNOWN)
            return b''
        return encode_view(view, self._board.clock())
