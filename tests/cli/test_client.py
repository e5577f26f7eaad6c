"""Which bodies of an entry's responses are whole."""

from http.client import HTTPException, HTTPResponse
from io import BytesIO

import pytest

from foxtailhatch.cli import client

HEAD = b'HTTP/1.1 200 OK\r\n'


class _Socket:
    def __init__(self, sent):
        self.sent = sent

    def makefile(self, *_):
        return BytesIO(self.sent)


def response(sent):
    opened = HTTPResponse(_Socket(HEAD + sent))
    opened.begin()
    return opened


@pytest.mark.parametrize(
    'sent',
    [
        b'Content-Length: 4\r\n\r\nbody',
        b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
        b'Connection: close\r\n\r\nbody',
    ],
)
def test_a_whole_body_is_read(sent):
    assert client.read_body(response(sent)) == b'body'


# Guards against a body that is cut, or has no end, and is taken for whole.
@pytest.mark.parametrize(
    'sent',
    [
        b'Content-Length: 5\r\n\r\nbody',
        b'Content-Length: 5\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n4\r\nbo',
        b'Connection: close\r\n\r\n' + b'x' * 20,
    ],
)
def test_a_body_that_is_not_whole_is_an_error(sent, monkeypatch):
    monkeypatch.setattr(client, 'MAX_RESPONSE_BYTES', 10)
    with pytest.raises(HTTPException):
        client.read_body(response(sent))
