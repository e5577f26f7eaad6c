"""What response bodies may take, each and together."""

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from foxtailhatch.outside import PlatformFault
from foxtailhatch.outside.http_bodies import (
    MAX_BODY_BYTES,
    MAX_BODY_PIECES,
    BodyReader,
    BodyTooLarge,
    NoMemory,
)
from foxtailhatch.outside.http_client import (
    MAX_DOCUMENT_BYTES,
    HttpCall,
    HttpClient,
    HttpResponse,
    error_from_response,
)
from foxtailhatch.relay.body_memory import BodyMemory
from tests.outside.loop import reactor, run
from tests.outside.raw import raw_server

PIECE = b'x' * 1_000_000
CALLS = 200
OK = b'HTTP/1.1 200 OK\r\n'


class Reading:
    """A body that is being read."""

    def __init__(self, memory, max_bytes=MAX_BODY_BYTES):
        self.ends = []
        self.transport = StringTransport()
        self.reader = BodyReader(max_bytes, memory.hold(), lambda: None)
        self.reader.makeConnection(self.transport)
        self.reader.body.addBoth(self.ends.append)


# Guards against bodies without end at many servers, each within its limit, that
# filled the memory together.
def test_all_bodies_together_keep_within_the_memory():
    memory = BodyMemory()
    readings = [Reading(memory) for _ in range(CALLS)]
    for _ in range(5):
        for reading in readings:
            reading.reader.dataReceived(PIECE)
    kept = sum(len(reading.reader._received) for reading in readings)
    assert kept == memory.held_bytes <= 75_000_000
    ended = [reading for reading in readings if reading.ends]
    assert ended
    assert all(reading.ends[0].check(NoMemory) for reading in ended)
    assert all(reading.transport.disconnecting for reading in ended)


# Guards against memory that is not given back, whatever the end of a body.
@pytest.mark.parametrize(
    'end',
    [
        lambda reader: reader.connectionLost(Failure(ResponseDone())),
        lambda reader: reader.connectionLost(Failure(ConnectionLost())),
        lambda reader: reader.body.cancel(),
        lambda reader: reader.dataReceived(b'x' * MAX_BODY_BYTES),
    ],
    ids=['whole', 'broken', 'cancelled', 'too large'],
)
def test_the_memory_of_a_body_is_given_back_at_its_end(end):
    memory = BodyMemory()
    reading = Reading(memory)
    reading.reader.dataReceived(PIECE)
    assert memory.held_bytes == len(PIECE)
    end(reading.reader)
    reading.reader.dataReceived(PIECE)
    assert memory.held_bytes == 0
    assert len(reading.ends) == 1


# Guards against a body in chunks of one byte that takes the loop's time.
def test_a_body_in_too_many_pieces_ends():
    reading = Reading(BodyMemory())
    for _ in range(MAX_BODY_PIECES):
        reading.reader.dataReceived(b'x')
    assert not reading.ends
    reading.reader.dataReceived(b'x')
    assert reading.ends[0].check(BodyTooLarge)
    assert reading.transport.disconnecting


# Guards against a document that takes many times its size as it is validated.
def test_a_document_is_limited_below_other_bodies():
    size = MAX_DOCUMENT_BYTES + 1
    sent = OK + b'Content-Length: %d\r\n\r\n' % size + b'x' * size
    client = HttpClient(reactor())
    with raw_server({b'GET': sent}) as ports:
        document = run(client.send(ports.address(), HttpCall('GET', '/')))
        other = run(
            client.send(
                ports.address(),
                HttpCall('GET', '/', max_bytes=MAX_BODY_BYTES),
            )
        )
    assert document.failure().fault is PlatformFault.INVALID_RESPONSE
    assert len(other.unwrap().body) == size
    assert client.bodies.held_bytes == 0


# Guards against a call whose failure does not say that this process is full.
def test_a_call_without_memory_says_so():
    client = HttpClient(reactor(), bodies=BodyMemory(limit_bytes=1))
    with raw_server({b'GET': OK + b'Content-Length: 2\r\n\r\n{}'}) as ports:
        outcome = run(client.send(ports.address(), HttpCall('GET', '/')))
    assert outcome.failure().fault is PlatformFault.NO_MEMORY
    assert 'memory' in outcome.failure().message


# Guards against an error message that holds a whole body.
def test_the_message_of_an_error_is_short():
    response = HttpResponse(500, PIECE, '')
    assert len(error_from_response(response).message) < 300
