"""Turns of suspected requests, of which an entry sends one at a time."""

# A turn ends after this time if nothing was heard of the request.
TURN_TTL_S = 3.0


class SuspectTurns:
    """The suspect whose turn it is.

    Sent together, all suspects would be lost with the one that crashes their
    endpoint, and could be told apart no better than before.

    >>> turns = SuspectTurns()
    >>> turns.take('a', now=0.0), turns.take('b', now=0.1)
    (True, False)
    >>> turns.end('a')
    >>> turns.take('b', now=0.2)
    True
    """

    def __init__(self) -> None:
        """Start with nobody's turn."""
        self._holder: str | None = None
        self._taken_at = float('-inf')

    def take(self, suspect: str, now: float) -> bool:
        """Return whether it is the turn of a suspect to be sent."""
        is_free = self._holder is None or now - self._taken_at > TURN_TTL_S
        if is_free:
            self._holder = suspect
            self._taken_at = now
        return is_free

    def end(self, suspect: str) -> None:
        """End the turn of a suspect, if it has it."""
        if self._holder == suspect:
            self._holder = None
