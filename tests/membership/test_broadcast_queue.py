from foxtailhatch.membership.broadcast_queue import BroadcastQueue


def test_updates_are_ordered_by_transmissions_then_by_age():
    queue = BroadcastQueue()
    queue.add('a', 1)
    queue.add('b', 2)
    assert queue.take_next(1, max_transmissions=9) == [2]
    assert queue.take_next(1, max_transmissions=9) == [1]
    queue.add('c', 3)
    assert queue.take_next(3, max_transmissions=9) == [3, 2, 1]


def test_newer_update_replaces_older_one_of_the_subject():
    queue = BroadcastQueue()
    queue.add('a', 1)
    queue.add('a', 2)
    assert queue.take_next(9, max_transmissions=1) == [2]
    assert queue.take_next(9, max_transmissions=1) == []


def test_full_queue_drops_the_most_transmitted_update():
    queue = BroadcastQueue(size=2)
    queue.add('a', 1)
    queue.take_next(1, max_transmissions=9)
    queue.add('b', 2)
    queue.add('c', 3)
    assert queue.take_next(9, max_transmissions=9) == [3, 2]
