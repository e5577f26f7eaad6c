"""The memory that bodies of requests and responses may take together.

Limits on a single body and on the number of connections do not bound the memory
of a process: their product is many times as large.
"""

# Bodies up to this size may use all of the memory, so that the usual requests,
# a few kilobytes each, are served while large bodies fill their part.
SMALL_BODY_BYTES = 65_536
LARGE_BODY_SHARE = 0.75
DEFAULT_LIMIT_BYTES = 75_000_000


class BodyMemory:
    """The bytes of all bodies that this process holds, within a limit.

    >>> memory = BodyMemory(limit_bytes=1_000_000)
    >>> body = memory.hold()
    >>> body.resize(700_000), memory.has_room(100_000), memory.has_room(500)
    (True, False, True)
    >>> body.release()
    >>> memory.held_bytes
    0
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Start without bodies."""
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    def hold(self) -> 'HeldBody':
        """Return an empty body that counts toward the limit."""
        return HeldBody(self)

    def has_room(self, size: int, held: int = 0) -> bool:
        """Return whether a body may grow to ``size`` from ``held`` bytes."""
        is_small = size <= SMALL_BODY_BYTES
        share = 1 if is_small else LARGE_BODY_SHARE
        others = self.held_bytes - held
        return others + size <= share * self._limit_bytes


class HeldBody:
    """What one body takes of the memory."""

    def __init__(self, memory: BodyMemory) -> None:
        """Start with an empty body."""
        self._memory = memory
        self._size = 0

    def resize(self, size: int) -> bool:
        """Set the size; return whether there is room for it.

        Without room the size stays as it was.
        """
        has_room = size <= self._size or self._memory.has_room(size, self._size)
        if has_room:
            self._memory.held_bytes += size - self._size
            self._size = size
        return has_room

    def release(self) -> None:
        """Give all bytes back."""
        self.resize(0)
