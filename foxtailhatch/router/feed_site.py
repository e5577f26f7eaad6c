"""The site where other entries ask for news."""

import asyncio
from typing import Any

from returns.result import Success
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from foxtailhatch.router.feed import (
    FEED_PATH,
    FEED_WAIT_S,
    FeedRequest,
    ResponderState,
    decode_feed_request,
    encode_feed_response,
)
from foxtailhatch.router.heartbeats import Heartbeats
from foxtailhatch.router.mirror import Mirror
from foxtailhatch.router.router_state import RouterState

BAD_REQUEST = 400


class FeedPage(Resource):
    """Answer calls for news, at once if there is urgent news."""

    isLeaf = True  # noqa: WPS115

    def __init__(
        self,
        board: RouterState,
        mirror: Mirror,
        heartbeats: Heartbeats,
    ) -> None:
        """Answer from the mirror."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._board = board
        self._mirror = mirror
        self._heartbeats = heartbeats
        self._tasks: set[asyncio.Task[None]] = set()

    def render_POST(self, req: Any) -> Any:  # noqa: N802
        """Answer a call later."""
        decoded = decode_feed_request(req.content.read())
        if not isinstance(decoded, Success):
            req.setResponseCode(BAD_REQUEST)
            return b''
        call = decoded.unwrap()
        self._heartbeats.record_feed_request(
            call.entry, call.work, self._board.clock()
        )
        answering = asyncio.ensure_future(self._answer(req, call))
        req.notifyFinish().addErrback(lambda _: answering.cancel())
        self._tasks.add(answering)
        answering.add_done_callback(self._tasks.discard)
        return NOT_DONE_YET

    async def _answer(self, req: Any, call: FeedRequest) -> None:
        is_first = any(end is None for end in call.offsets.values())
        if not is_first:
            await self._mirror.wait(FEED_WAIT_S)
        now = self._board.clock()
        work = self._heartbeats.work_of_others(call.entry.name, now)
        news = ResponderState(work, self._mirror.is_from_store)
        raw = encode_feed_response(self._mirror, call, news, now)
        req.setHeader(b'content-type', b'application/cbor')
        req.setHeader(b'content-length', b'%d' % len(raw))
        req.write(raw)
        req.finish()


def feed_site(
    board: RouterState,
    mirror: Mirror,
    heartbeats: Heartbeats,
) -> Site:
    """Return the site for other entries."""
    root: Any = Resource()
    page = FeedPage(board, mirror, heartbeats)
    root.putChild(FEED_PATH.strip(b'/'), page)
    site = Site(root)
    site.noisy = False
    return site
