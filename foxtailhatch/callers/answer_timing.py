"""When an answer's tokens came, against what callers expect."""

from dataclasses import dataclass

MAX_TOKEN_GAP_S = 0.054


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """The wait for an answer's first token, and its late tokens.

    A token is late if it comes more than ``MAX_TOKEN_GAP_S`` after the one before
    it.  ``first_token_s`` is ``None`` if no token came.
    """

    first_token_s: float | None
    late_tokens: int


class TokenTimer:
    """Take the time of each token of one answer.

    >>> timer = TokenTimer(1.0)
    >>> for now in (1.5, 1.51, 1.6):
    ...     timer.record_token(now)
    >>> timer.times()
    AnswerTimes(first_token_s=0.5, late_tokens=1)
    """

    def __init__(self, now: float) -> None:
        """Start at the time at which the answer was asked for."""
        self._requested_at = now
        self._first_at: float | None = None
        self._last_at = now
        self._late_tokens = 0

    def record_token(self, now: float) -> None:
        """Note that a token came."""
        if self._first_at is None:
            self._first_at = now
        elif now - self._last_at > MAX_TOKEN_GAP_S:
            self._late_tokens += 1
        self._last_at = now

    def times(self) -> AnswerTimes:
        """Return what was seen so far."""
        if self._first_at is None:
            return AnswerTimes(None, self._late_tokens)
        return AnswerTimes(
            self._first_at - self._requested_at, self._late_tokens
        )
