"""The memory of all bodies stays within its limit, whatever comes."""

from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.relay.body_memory import (
    LARGE_BODY_SHARE,
    SMALL_BODY_BYTES,
    BodyMemory,
)

LIMIT = 1_000_000


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 2 * LIMIT)), max_size=60
    )
)
def test_bodies_never_exceed_the_limit(changes):
    memory = BodyMemory(LIMIT)
    bodies = [memory.hold() for _ in range(10)]
    sizes = [0] * len(bodies)
    for index, size in changes:
        if bodies[index].resize(size):
            sizes[index] = size
        assert memory.held_bytes == sum(sizes) <= LIMIT
    for body in bodies:
        body.release()
        body.release()
    assert memory.held_bytes == 0


def test_small_bodies_find_room_beside_large_ones():
    memory = BodyMemory(LIMIT)
    large = memory.hold()
    assert large.resize(int(LIMIT * LARGE_BODY_SHARE))
    assert not memory.hold().resize(SMALL_BODY_BYTES + 1)
    assert memory.hold().resize(SMALL_BODY_BYTES)


def test_body_that_grows_in_pieces_counts_once():
    memory = BodyMemory(LIMIT)
    body = memory.hold()
    for size in (100_000, 300_000, 700_000):
        assert body.resize(size)
    assert memory.held_bytes == 700_000
    assert not body.resize(800_000)
    assert memory.held_bytes == 700_000
