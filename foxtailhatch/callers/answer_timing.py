"""Latency of an answer: time to first token and late tokens."""

from dataclasses import dataclass

MAX_TOKEN_GAP_S = 0.054


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """Time to the first token of an answer, and number of late tokens.

    A token is late if it is produced more than ``MAX_TOKEN_GAP_S`` after the
    previous one.  ``first_token_s`` is ``None`` if there was no token.
    """

    first_token_s: float | None
    late_tokens: int


class TokenTimer:
    """Measure the latency of the tokens of one answer.

    >>> timer = TokenTimer(1.0)
    >>> for now in (1.5, 1.51, 1.6):
    ...     timer.record_token(now)
    >>> timer.times()
    AnswerTimes(first_token_s=0.5, late_tokens=1)
    """

    def __init__(self, now: float) -> None:
        """Start the measurement at the time of the request."""
        self._requested_at = now
        self._first_at: float | None = None
        self._last_at = now
        self._late_tokens = 0

    def record_token(self, now: float) -> None:
        """Record that a token was produced."""
        if self._first_at is None:
            self._first_at = now
        elif now - self._last_at > MAX_TOKEN_GAP_S:
            self._late_tokens += 1
        self._last_at = now

    def times(self) -> AnswerTimes:
        """Return the times up to now."""
        if self._first_at is None:
            return AnswerTimes(None, self._late_tokens)
        return AnswerTimes(
            self._first_at - self._requested_at, self._late_tokens
        )
