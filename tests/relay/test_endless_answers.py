"""Answers without end, in a head or in a body."""

from foxtailhatch.relay.http_connection import MAX_OVERHEAD_BYTES
from tests.relay.fakes import start_relay

# An interim response, which is skipped.
OTHER = b'HTTP/1.1 103 Early Hints\r\n\r\n'


def test_log_tells_how_much_an_attempt_had_brought_and_its_limit():
    env = start_relay()
    conn = env.accept_connection()
    sent = 0
    while not env.log.of('attempt_failed') and sent < 4 * MAX_OVERHEAD_BYTES:
        conn.send_bytes(OTHER)
        sent += len(OTHER)
    (line,) = env.log.of('attempt_failed')
    assert line['cause'] == 'malformed'
    assert line['received_bytes'] == sent
    assert line['limit'] == 'overhead'
