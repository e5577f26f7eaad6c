from foxtailhatch.core import HybridClock, HybridTimestamp


def test_timestamps_after_a_received_one_are_later():
    clock = HybridClock('b')
    remote = HybridTimestamp(100.0, 7, 'a')
    assert clock.receive(remote, 50.0) > remote
    assert clock.tick(50.0) > remote


def test_a_received_timestamp_with_equal_wall_time_advances_the_counter():
    clock = HybridClock('b', wall=100.0, count=3)
    assert clock.receive(HybridTimestamp(100.0, 9, 'a'), 90.0).count == 10
