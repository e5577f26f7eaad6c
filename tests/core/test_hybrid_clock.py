from foxtailhatch.core import HybridClock, HybridTimestamp


def test_a_stamp_after_a_received_one_is_later_than_it():
    clock = HybridClock('b')
    remote = HybridTimestamp(100.0, 7, 'a')
    assert clock.receive(remote, 50.0) > remote
    assert clock.tick(50.0) > remote


def test_a_received_stamp_of_the_same_time_raises_the_count():
    clock = HybridClock('b', wall=100.0, count=3)
    assert clock.receive(HybridTimestamp(100.0, 9, 'a'), 90.0).count == 10
