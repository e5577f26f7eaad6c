"""What the feed page notes of requests that it cannot read in full."""

from io import BytesIO
from types import SimpleNamespace

import cbor2

from foxtailhatch.router.feed_site import BAD_REQUEST, FeedPage
from tests.relay.fakes import ListLog
from tests.router.test_messages_of_later_builds import ENTRY


class FakeRequest:
    """A request whose answer is awaited by nobody."""

    def __init__(self, body):
        self.content = BytesIO(body)
        self.code = None

    def setResponseCode(self, code):
        self.code = code


def make_page():
    log = ListLog()
    page = FeedPage(SimpleNamespace(), SimpleNamespace(), None, log)
    return page, log


def test_malformed_request_is_refused_and_logged_once():
    page, log = make_page()
    for _ in range(3):
        req = FakeRequest(b'?')
        assert page.render_POST(req) == b''
        assert req.code == BAD_REQUEST
    assert len(log.of('feed_request_unreadable')) == 1


def test_unknown_topics_are_logged():
    page, log = make_page()
    raw = cbor2.dumps([ENTRY.fields(), {'unheard': None}, {}])
    decoded = page.decode(FakeRequest(raw))
    assert decoded.positions == {}
    (line,) = log.of('feed_request_unreadable')
    assert line['why'] == 'unknown topics: unheard'
