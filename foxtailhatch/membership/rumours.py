"""Pass each piece of news on a bounded number of times."""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil, log2
from typing import Generic, TypeVar

QUEUE_MAX = 512
ROUNDS_FACTOR = 3

_NewsT = TypeVar('_NewsT')


@dataclass(slots=True)
class _Rumour(Generic[_NewsT]):
    news: _NewsT
    number: int
    told: int = 0


def rounds_for(members: int) -> int:
    """Return how often news is passed on so that all of them hear it.

    >>> rounds_for(1), rounds_for(9), rounds_for(360)
    (3, 10, 26)
    """
    return max(ROUNDS_FACTOR, ceil(ROUNDS_FACTOR * log2(max(1, members))))


class RumourQueue(Generic[_NewsT]):
    """Hold news by subject; newer news of a subject replaces older.

    >>> queue = RumourQueue[int]()
    >>> queue.add('gpu-1', 5)
    >>> [queue.take(1, rounds=2) for _ in range(3)]
    [[5], [5], []]
    """

    def __init__(self, size: int = QUEUE_MAX) -> None:
        """Start without news; at most ``size`` subjects are held."""
        self._size = size
        self._rumours: dict[str, _Rumour[_NewsT]] = {}
        self._number = 0

    def add(self, subject: str, news: _NewsT) -> None:
        """Take news about a subject, to be told from the start."""
        self._number += 1
        self._rumours[subject] = _Rumour(news, self._number)
        if len(self._rumours) > self._size:
            self._drop_most_told()

    def drop(self, subject: str) -> None:
        """Tell nothing more about a subject."""
        self._rumours.pop(subject, None)

    def take(self, limit: int, rounds: int) -> list[_NewsT]:
        """Return the least told news, newest first, and count the telling."""
        chosen = sorted(
            self._rumours.items(),
            key=lambda pair: (pair[1].told, -pair[1].number),
        )[:limit]
        for subject, rumour in chosen:
            rumour.told += 1
            if rumour.told >= rounds:
                self.drop(subject)
        return [told.news for _, told in chosen]

    def keep_only(self, is_wanted: Callable[[_NewsT], bool]) -> None:
        """Drop the news that is no longer wanted."""
        self._rumours = {
            subject: rumour
            for subject, rumour in self._rumours.items()
            if is_wanted(rumour.news)
        }

    def _drop_most_told(self) -> None:
        most_told = max(
            self._rumours,
            key=lambda subject: self._rumours[subject].told,
        )
        self.drop(most_told)
