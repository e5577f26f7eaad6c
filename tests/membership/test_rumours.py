from foxtailhatch.membership.rumours import RumourQueue


def test_the_least_told_news_comes_first_and_then_the_newest():
    queue = RumourQueue()
    queue.add('a', 1)
    queue.add('b', 2)
    assert queue.take(1, rounds=9) == [2]
    assert queue.take(1, rounds=9) == [1]
    queue.add('c', 3)
    assert queue.take(3, rounds=9) == [3, 2, 1]


def test_newer_news_of_a_subject_replaces_the_older():
    queue = RumourQueue()
    queue.add('a', 1)
    queue.add('a', 2)
    assert queue.take(9, rounds=1) == [2]
    assert queue.take(9, rounds=1) == []


def test_a_full_queue_drops_what_was_told_most():
    queue = RumourQueue(size=2)
    queue.add('a', 1)
    queue.take(1, rounds=9)
    queue.add('b', 2)
    queue.add('c', 3)
    assert queue.take(9, rounds=9) == [3, 2]
