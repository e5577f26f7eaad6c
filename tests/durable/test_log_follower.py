import random

from foxtailhatch.durable.log_follower import (
    MAX_BACKOFF_S,
    POLL_INTERVAL_S,
    READ_TIMEOUT_S,
    LogAvailability,
    LogFollower,
)
from foxtailhatch.outside import LogPage


def follower():
    return LogFollower('claims-0', random.Random(1))


def test_the_next_read_is_due_at_once_before_the_end_of_the_stream():
    reader = follower()
    reader.next_read(0, 0)
    assert reader.handle_page(1, LogPage((), 0, 9), next_offset=5)
    assert reader.next_read(1, 5).offset == 5


def test_the_end_of_the_stream_is_polled_with_jitter():
    reader = follower()
    reader.next_read(0, 0)
    reader.handle_page(1, LogPage((), 0, 5), next_offset=5)
    assert reader.next_read(1 + POLL_INTERVAL_S / 2, 5) is None
    assert reader.next_read(1 + 2 * POLL_INTERVAL_S, 5)
    assert reader.caught_up_since(0)
    assert not reader.caught_up_since(0.5)


def test_an_outage_is_reported_once_and_reads_back_off():
    reader = follower()
    now, outages, reads = 0.0, 0, 0
    for now in range(100):
        if reader.next_read(now, 0):
            reads += 1
            outages += reader.handle_read_failure(now)
    assert outages == 1
    assert reader.availability is LogAvailability.DOWN
    assert 100 / (2 * MAX_BACKOFF_S) < reads < 50


def test_a_read_without_a_response_counts_as_failed():
    reader = follower()
    reader.next_read(0, 0)
    assert reader.next_read(READ_TIMEOUT_S - 1, 0) is None
    reader.next_read(READ_TIMEOUT_S, 0)
    assert reader.next_read(2 * READ_TIMEOUT_S, 0)


def test_an_own_append_makes_the_next_read_due():
    reader = follower()
    reader.next_read(0, 0)
    reader.handle_page(1, LogPage((), 0, 5), next_offset=5)
    reader.poll_soon(1.1)
    assert reader.next_read(1.1, 5)
