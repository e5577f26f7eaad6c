"""The rate at which waiting requests are started, as measured at this entry."""

from collections import deque
from dataclasses import dataclass, field

# Starts of longer ago say little of the capacity that is left now.
RATE_WINDOW_S = 2.0
# Before requests have waited for this long together, the rate is not known: work
# ends in steps, and the totals of other entries arrive every 0.5 s.
MIN_CONTENDED_S = 0.3


@dataclass(slots=True)
class StartRate:
    """Tokens a second that leave the queue while it is not empty.

    Only time in which requests waited counts: at other times the rate of
    starts is that of arrivals, and says nothing of the capacity.

    >>> rate = StartRate()
    >>> rate.begin_waiting(0)
    >>> rate.record_start(100, 0.5)
    >>> rate.tokens_per_s(now=1, mean_tokens=100)
    200.0
    """

    waiting_since: float | None = None
    _starts: deque[tuple[float, float]] = field(default_factory=deque)
    _waits: deque[tuple[float, float]] = field(default_factory=deque)

    def begin_waiting(self, now: float) -> None:
        """Record that the queue is not empty any more."""
        if self.waiting_since is None:
            self.waiting_since = now

    def end_waiting(self, now: float) -> None:
        """Record that the queue is empty."""
        if self.waiting_since is not None:
            self._waits.append((self.waiting_since, now))
            self.waiting_since = None

    def record_start(self, tokens: float, now: float) -> None:
        """Record the start of a request that has waited."""
        self._starts.append((now, tokens))
        self._expire(now)

    def tokens_per_s(self, now: float, mean_tokens: float) -> float | None:
        """Return the rate, or ``None`` if there was too little waiting.

        One request of mean size is added to those seen, so that a short time
        without a start does not count as a rate of 0.
        """
        self._expire(now)
        begin = now - RATE_WINDOW_S
        contended_s = sum(end - max(begin, since) for since, end in self._waits)
        if self.waiting_since is not None:
            contended_s += now - max(begin, self.waiting_since)
        if contended_s < MIN_CONTENDED_S:
            return None
        started = sum(tokens for _, tokens in self._starts)
        return (started + mean_tokens) / contended_s

    def _expire(self, now: float) -> None:
        begin = now - RATE_WINDOW_S
        while self._starts and self._starts[0][0] < begin:
            self._starts.popleft()
        while self._waits and self._waits[0][1] < begin:
            self._waits.popleft()
