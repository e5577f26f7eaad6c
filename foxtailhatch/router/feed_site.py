"""HTTP site for other entries: the feed, and calls about the lease and the store."""

import asyncio
from typing import Any

from returns.result import Success
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.counted_channel import CountedSite
from foxtailhatch.router.feed import (
    FEED_PATH,
    FEED_WAIT_S,
    FeedRequest,
    ResponderState,
    decode_feed_request,
    encode_feed_response,
)
from foxtailhatch.router.heartbeats import Heartbeats
from foxtailhatch.router.keyed_log import URGENT
from foxtailhatch.router.lease_peers import LEASE_PATH
from foxtailhatch.router.lease_site import LeasePage
from foxtailhatch.router.mirror import Mirror
from foxtailhatch.router.outage_peers import OUTAGE_PATH
from foxtailhatch.router.outage_site import OutagePage

BAD_REQUEST = 400
MAX_FAULT_LENGTH = 200


class FeedPage(Resource):
    """Long polling: respond when there are news, or after ``FEED_WAIT_S``."""

    isLeaf = True  # noqa: WPS115

    def __init__(
        self,
        board: Blackboard,
        mirror: Mirror,
        heartbeats: Heartbeats,
        log: StructuredLog,
    ) -> None:
        """Serve the records in ``mirror``."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._board = board
        self._mirror = mirror
        self._heartbeats = heartbeats
        self._log = log
        self._last_fault = ''
        self._tasks: set[asyncio.Task[None]] = set()

    def render_POST(self, req: Any) -> Any:  # noqa: N802
        """Decode a feed request and respond asynchronously."""
        request = self.decode(req)
        if request is None:
            req.setResponseCode(BAD_REQUEST)
            return b''
        self._heartbeats.record_feed_request(
            request.entry, request.work, self._board.clock(), request.demand
        )
        responding = asyncio.ensure_future(self._respond(req, request))
        req.notifyFinish().addErrback(lambda _: responding.cancel())
        self._tasks.add(responding)
        responding.add_done_callback(self._tasks.discard)
        return NOT_DONE_YET

    def decode(self, req: Any) -> FeedRequest | None:
        """Return the feed request in a body; log what is not understood."""
        decoded = decode_feed_request(req.content.read())
        if not isinstance(decoded, Success):
            self._note_fault(decoded.failure())
            return None
        request: FeedRequest = decoded.unwrap()
        if request.unknown_topics:
            listed = ', '.join(request.unknown_topics)
            self._note_fault(f'unknown topics: {listed}')
        return request

    def _note_fault(self, why: str) -> None:
        """Log what cannot be read; peers ask again and again."""
        why = why[:MAX_FAULT_LENGTH]
        if why != self._last_fault:
            self._last_fault = why
            self._log.write('feed_request_unreadable', why=why)

    async def _respond(self, req: Any, request: FeedRequest) -> None:
        arrived_at = self._board.clock()
        if not self._is_behind(request):
            await self._mirror.wait(FEED_WAIT_S)
        now = self._board.clock()
        name = request.entry.name
        responder = ResponderState(
            self._heartbeats.work_of_others(name, now),
            self._mirror.is_from_store,
            self._heartbeats.demand.response_to(name, now),
        )
        raw = encode_feed_response(self._mirror, request, responder, arrived_at)
        req.setHeader(b'content-type', b'application/cbor')
        req.setHeader(b'content-length', b'%d' % len(raw))
        req.write(raw)
        req.finish()

    def _is_behind(self, request: FeedRequest) -> bool:
        """Return whether there are news for the requesting entry already."""
        positions = request.positions
        if any(position is None for position in positions.values()):
            return True
        known = ((topic, positions.get(topic)) for topic in URGENT)
        return any(
            end is not None and position is not None and position < end
            for topic, position in known
            if (end := self._mirror.topics[topic].end) is not None
        )


def feed_site(
    board: Blackboard,
    mirror: Mirror,
    heartbeats: Heartbeats,
    log: StructuredLog,
) -> Site:
    """Return the site that other entries request the feed from."""
    root: Any = Resource()
    page = FeedPage(board, mirror, heartbeats, log)
    root.putChild(FEED_PATH.strip(b'/'), page)
    root.putChild(LEASE_PATH.strip(b'/'), LeasePage(board))
    root.putChild(OUTAGE_PATH.strip(b'/'), OutagePage(board))
    # To look for a form in each body takes a third of a millisecond.
    return CountedSite(root, parsePOSTFormSubmission=False)  # type: ignore[no-untyped-call]
