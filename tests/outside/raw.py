"""A server that sends the bytes given for a request method."""

from contextlib import contextmanager
from dataclasses import dataclass, field

from twisted.internet.protocol import Factory, Protocol

from foxtailhatch.core import Address
from tests.outside.loop import reactor


@dataclass
class RawServer:
    """Listening port of the server, and the methods of its requests."""

    port: object
    requests: list = field(default_factory=list)

    def address(self):
        return Address('127.0.0.1', self.port.getHost().port)


class _Raw(Protocol):
    def dataReceived(self, data):
        if b' HTTP/1.1\r\n' not in data:
            return
        method = data.split(b' ', 1)[0]
        self.factory.server.requests.append(method)
        responses = self.factory.responses.get(method)
        if responses is None:
            return
        is_persistent = isinstance(responses, list)
        if is_persistent and not responses:
            self.transport.loseConnection()
            return
        self.transport.write(responses.pop(0) if is_persistent else responses)
        if not is_persistent:
            self.transport.loseConnection()


@contextmanager
def raw_server(responses):
    """Send the response for each method.

    Bytes are sent before the connection is closed.  The items of a list are
    sent one for each request, on a connection that stays open until the list
    is empty.
    """
    factory = Factory.forProtocol(_Raw)
    factory.responses = responses
    port = reactor().listenTCP(0, factory, interface='127.0.0.1')
    factory.server = RawServer(port)
    try:
        yield factory.server
    finally:
        port.stopListening()
