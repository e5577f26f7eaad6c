"""Queue of gossip updates, each transmitted a limited number of times."""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil, log2
from typing import Generic, TypeVar

QUEUE_MAX = 512
RETRANSMIT_MULTIPLIER = 3

_UpdateT = TypeVar('_UpdateT')


@dataclass(slots=True)
class _Broadcast(Generic[_UpdateT]):
    update: _UpdateT
    sequence: int
    transmissions: int = 0


def transmit_limit(members: int) -> int:
    """Return the number of transmissions needed to reach all members.

    >>> transmit_limit(1), transmit_limit(9), transmit_limit(360)
    (3, 10, 26)
    """
    return max(
        RETRANSMIT_MULTIPLIER,
        ceil(RETRANSMIT_MULTIPLIER * log2(max(1, members))),
    )


class BroadcastQueue(Generic[_UpdateT]):
    """Queue updates by subject; a newer update replaces the older one.

    >>> queue = BroadcastQueue[int]()
    >>> queue.add('gpu-1', 5)
    >>> [queue.take_next(1, max_transmissions=2) for _ in range(3)]
    [[5], [5], []]
    """

    def __init__(self, size: int = QUEUE_MAX) -> None:
        """Create an empty queue for at most ``size`` subjects."""
        self._size = size
        self._broadcasts: dict[str, _Broadcast[_UpdateT]] = {}
        self._sequence = 0

    def add(self, subject: str, update: _UpdateT) -> None:
        """Queue an update, with its transmission count reset to 0.

        If the queue is full, the most transmitted update is dropped.
        """
        self._sequence += 1
        self._broadcasts[subject] = _Broadcast(update, self._sequence)
        if len(self._broadcasts) > self._size:
            self._drop_most_sent()

    def drop(self, subject: str) -> None:
        """Remove the update of a subject, if any."""
        self._broadcasts.pop(subject, None)

    def take_next(self, limit: int, max_transmissions: int) -> list[_UpdateT]:
        """Return up to ``limit`` updates and count them as transmitted.

        The least transmitted updates come first, newest first among equals.
        Updates transmitted ``max_transmissions`` times are removed.
        """
        chosen = sorted(
            self._broadcasts.items(),
            key=lambda pair: (pair[1].transmissions, -pair[1].sequence),
        )[:limit]
        for subject, broadcast in chosen:
            broadcast.transmissions += 1
            if broadcast.transmissions >= max_transmissions:
                self.drop(subject)
        return [selected.update for _, selected in chosen]

    def keep_only(self, is_wanted: Callable[[_UpdateT], bool]) -> None:
        """Remove the updates for which ``is_wanted`` returns false."""
        self._broadcasts = {
            subject: broadcast
            for subject, broadcast in self._broadcasts.items()
            if is_wanted(broadcast.update)
        }

    def _drop_most_sent(self) -> None:
        most_sent = max(
            self._broadcasts,
            key=lambda subject: self._broadcasts[subject].transmissions,
        )
        self.drop(most_sent)
