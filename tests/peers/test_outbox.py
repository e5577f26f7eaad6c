import asyncio

from foxtailhatch.peers.outbox import QUEUE_BYTES_MAX, Outbox, SendOutcome


def test_frames_are_returned_in_order():
    outbox = Outbox()
    outbox.put(b'1')
    outbox.put(b'2')

    async def take_two():
        return [await outbox.get(), await outbox.get()]

    assert asyncio.run(take_two()) == [b'1', b'2']


def test_queued_bytes_are_limited_until_a_frame_is_taken():
    outbox = Outbox()
    half = b'x' * (QUEUE_BYTES_MAX // 2 + 1)
    assert outbox.put(half) is SendOutcome.QUEUED
    assert outbox.put(half) is SendOutcome.QUEUE_FULL
    asyncio.run(outbox.get())
    assert outbox.put(half) is SendOutcome.QUEUED
