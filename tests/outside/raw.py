"""A server that sends given bytes and closes, whatever it is asked."""

from contextlib import contextmanager
from dataclasses import dataclass, field

from twisted.internet.protocol import Factory, Protocol

from foxtailhatch.core import Address
from tests.outside.loop import reactor


@dataclass
class RawPorts:
    """Where the server listens and the requests it saw."""

    port: object
    requests: list = field(default_factory=list)

    def address(self):
        return Address('127.0.0.1', self.port.getHost().port)


class _Raw(Protocol):
    def dataReceived(self, data):
        if b' HTTP/1.1\r\n' not in data:
            return
        method = data.split(b' ', 1)[0]
        self.factory.ports.requests.append(method)
        answers = self.factory.answers.get(method)
        if answers is None:
            return
        kept = isinstance(answers, list)
        if kept and not answers:
            self.transport.loseConnection()
            return
        self.transport.write(answers.pop(0) if kept else answers)
        if not kept:
            self.transport.loseConnection()


@contextmanager
def raw_server(answers):
    """Answer by method: bytes are sent before a close, a list one by one."""
    factory = Factory.forProtocol(_Raw)
    factory.answers = answers
    port = reactor().listenTCP(0, factory, interface='127.0.0.1')
    factory.ports = RawPorts(port)
    try:
        yield factory.ports
    finally:
        port.stopListening()
