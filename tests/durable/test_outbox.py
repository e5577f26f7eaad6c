from foxtailhatch.core import RunState
from foxtailhatch.durable.claim_records import (
    MAX_KEPT_BODY_BYTES,
    Claim,
    Done,
    KeyOwner,
    Outcome,
)
from foxtailhatch.durable.outbox import (
    MAX_BATCH_BYTES,
    RETRY_DELAY_S,
    Outbox,
)
from foxtailhatch.outside import PlatformFault

OWNER = KeyOwner('ward', '1796356800-a')


def claim(number):
    return Claim(f'c{number}', OWNER, b'd' * 32, 0, 1)


def test_an_append_is_bounded_in_bytes_and_loses_nothing():
    outbox = Outbox()
    body = b'x' * MAX_KEPT_BODY_BYTES
    answer = Outcome(RunState.RAN, 200, 'text/plain', body)
    for number in range(500):
        outbox.put(Done(f'c{number}', OWNER, answer))
    records = 0
    while batch := outbox.next_append(0):
        assert len(batch.body) <= MAX_BATCH_BYTES
        records += batch.record_count
        outbox.handle_acknowledgement(batch.batch_id)
    assert records == 500


def test_one_append_is_in_flight_and_the_rest_share_the_next():
    outbox = Outbox()
    outbox.put(claim(0))
    first = outbox.next_append(0)
    for number in range(1, 600):
        outbox.put(claim(number))
    assert outbox.next_append(0) is None
    outbox.handle_acknowledgement(first.batch_id)
    assert outbox.next_append(0).record_count == 599


def test_a_late_response_of_an_earlier_append_is_ignored():
    outbox = Outbox()
    outbox.put(claim(0))
    first = outbox.next_append(0)
    outbox.handle_failure(0, first.batch_id, PlatformFault.NO_RESPONSE)
    second = outbox.next_append(RETRY_DELAY_S)
    outbox.handle_acknowledgement(first.batch_id)
    assert len(outbox) == 1
    outbox.handle_acknowledgement(second.batch_id)
    assert len(outbox) == 0
