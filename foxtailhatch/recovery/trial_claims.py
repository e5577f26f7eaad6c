"""Trials that one entry has claimed in the log, and those that it may begin."""

# A trial that is granted has to begin within this time, and a claim that was
# not granted by then may be repeated.
GRANT_TTL_S = 5.0


class TrialClaims:
    """The claims of one entry; the first claim in the log is granted.

    >>> claims = TrialClaims()
    >>> claims.grant('bad', now=1.0)
    >>> claims.take('bad', now=2.0), claims.take('bad', now=2.0)
    (True, False)
    """

    def __init__(self) -> None:
        """Start without claims."""
        self._held_until = float('-inf')
        self._claimed_at: dict[str, float] = {}
        self._granted_at: dict[str, float] = {}

    def claim(self, part: str, now: float) -> bool:
        """Return whether a claim is to be written, and record it if so."""
        if now < self._held_until:
            return False
        if now - self._claimed_at.get(part, float('-inf')) <= GRANT_TTL_S:
            return False
        self._claimed_at[part] = now
        return True

    def hold(self, until: float) -> None:
        """Claim nothing until a time, as claims of others may be missing."""
        self._held_until = until

    def grant(self, part: str, now: float) -> None:
        """Record that the claim of this entry was the first in the log."""
        self._granted_at[part] = now

    def take(self, part: str, now: float) -> bool:
        """Return whether a trial may begin; it may do so once."""
        granted_at = self._granted_at.pop(part, float('-inf'))
        return now - granted_at <= GRANT_TTL_S

    def forget(self, part: str) -> None:
        """Drop the claims on a part that is released."""
        self._claimed_at.pop(part, None)
        self._granted_at.pop(part, None)
