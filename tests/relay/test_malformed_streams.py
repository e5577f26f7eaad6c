"""Bytes in a stream that are not its next event."""

import pytest

from foxtailhatch.routes import RouteKind
from tests.relay.fakes import start_relay

STREAM = {'kind': RouteKind.STREAM, 'resumable': True, 'layered': True}
# What an endpoint sends after its third event.
NO_EVENTS = {
    'other bytes': b'\x00\xfe\xffxx\n\n',
    'empty number': b'id:\ndata: t4\n\n',
    'no number': b'data: t4\n\n',
    'other number': b'id: 4x\ndata: t4\n\n',
    'number in another spelling': b'id: 04\ndata: t4\n\n',
    'two numbers': b'id: 4\nid: 9\ndata: t4\n\n',
    'number of 4,000 digits': b'id: ' + b'4' * 4000 + b'\ndata: t4\n\n',
    'number of 5,000 digits': b'id: ' + b'4' * 5000 + b'\ndata: t4\n\n',
    'second head': b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n\r\n',
    'return between line feeds': b'id: 4\ndata: t4\n\r\nid: 9\ndata: t9\n\n',
    'two returns': b'id: 4\ndata: t4\r\rid: 9\ndata: t9\n\n',
    'return inside a line': b'id: 4\ndata: t4\rid: 9\n\n',
    'no data': b'id: 4\n\n',
    'comment': b': id 4\n\n',
    'own field in the second line': b'id: 4\nx-versions: 2\ndata: t4\n\n',
    'event that was sent before': b'id: 2\ndata: t2\n\n',
    'empty lines': b'\n\n',
}

# A number that is too long to be read fails the whole response.
LOGGED = NO_EVENTS.keys() - {
    'event that was sent before',
    'number of 5,000 digits',
}


def event(number):
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def events(last):
    return b''.join(map(event, range(1, last + 1)))


def stream_with(raw, **options):
    """Return a relay whose first endpoint sends ``raw`` after three events."""
    env = start_relay(**STREAM | options)
    conn = env.accept_connection()
    conn.start_stream()
    for number in range(1, 4):
        conn.send_event(number)
    conn.send_chunk(raw)
    return env, conn


@pytest.mark.parametrize('kind', LOGGED)
def test_log_tells_a_stream_with_other_bytes_from_a_sound_one(kind):
    env, _ = stream_with(NO_EVENTS[kind])
    (line,) = env.log.of('event_malformed')
    assert line['endpoints'] == ['e1']
    assert line['why']
    assert len(line['sample']) <= 300


def test_log_of_a_sound_stream_names_no_malformed_event():
    env, conn = stream_with(event(4))
    conn.send_chunk(b'x-versions: 2\nid: 5\ndata: t5\n\n')
    conn.end_stream()
    assert not env.log.of('event_malformed')
    assert env.log.of('ended')[0]['malformed'] == 0
