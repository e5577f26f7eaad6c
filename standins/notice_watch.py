"""Check that entries heed what endpoints say of themselves in answers.

Times are in seconds on one clock, and an entry is known by the host from which it
connects.
"""

from dataclasses import dataclass

# An entry sends no request to an endpoint later than this after an answer which
# said that the endpoint leaves.
DRAIN_S = 2.0
# Requests that are on their way as an endpoint asks for a pause arrive within this
# time.  After it, not more than two may come before the pause ends.
ON_THE_WAY_S = 0.5
MAX_IN_PAUSE = 2


@dataclass(slots=True)
class _AskedPause:
    """A pause, and how many requests came in it."""

    begins_at: float
    ends_at: float
    arrivals: int = 0


class NoticeWatch:
    """Records the notices that entries got, and what they sent afterwards.

    >>> watch = NoticeWatch([])
    >>> watch.record_leaving('e1', 'a', now=0)
    >>> watch.record_request('e1', 'a', 'q1', now=3)
    >>> watch.violations
    ['q1 reached e1 from a 3.00 s after it said that it leaves']
    """

    def __init__(self, violations: list[str]) -> None:
        """Append to ``violations`` what breaks a promise."""
        self.violations = violations
        self._told_at: dict[tuple[str, str], float] = {}
        self._pauses: dict[tuple[str, str], list[_AskedPause]] = {}
        self._unaware: set[str] = set()

    @property
    def told(self) -> int:
        """Return how often an entry has heard that an endpoint leaves."""
        return len(self._told_at)

    @property
    def asked(self) -> int:
        """Return how many pauses entries were asked for."""
        return sum(map(len, self._pauses.values()))

    def set_heeding(self, entry: str, *, is_heeding: bool) -> None:
        """Set whether an entry knows notices; older builds do not."""
        self._unaware.discard(entry)
        if not is_heeding:
            self._unaware.add(entry)

    def record_leaving(self, endpoint: str, entry: str, now: float) -> None:
        """Record an answer to an entry which says that the endpoint leaves."""
        if entry in self._unaware:
            return
        self._told_at.setdefault((endpoint, entry), now)

    def record_pause(
        self, endpoint: str, entry: str, pause_s: float, now: float
    ) -> None:
        """Record an answer to an entry by which the endpoint asks for a pause."""
        if entry in self._unaware:
            return
        asked = _AskedPause(now + ON_THE_WAY_S, now + pause_s)
        self._pauses.setdefault((endpoint, entry), []).append(asked)

    def record_request(
        self, endpoint: str, entry: str, what: str, now: float
    ) -> None:
        """Check a request or a stage of one against both promises."""
        late_s = now - self._told_at.get((endpoint, entry), now)
        if late_s > DRAIN_S:
            sent = f'{what} reached {endpoint} from {entry}'
            self.violations.append(
                f'{sent} {late_s:.2f} s after it said that it leaves'
            )
        self.record_call(endpoint, entry, what, now)

    def record_call(
        self, endpoint: str, entry: str, what: str, now: float
    ) -> None:
        """Check anything that reaches an endpoint against its pauses."""
        for asked in self._pauses.get((endpoint, entry), []):
            if asked.begins_at <= now < asked.ends_at:
                asked.arrivals += 1
                self._check_arrivals(asked, f'{what} reached {endpoint}')

    def excuse(self, entry: str) -> None:
        """Forget the notices to an entry that restarts or was frozen."""
        self._told_at = {
            known: at
            for known, at in self._told_at.items()
            if known[1] != entry
        }
        self._pauses = {
            known: asked
            for known, asked in self._pauses.items()
            if known[1] != entry
        }

    def _check_arrivals(self, asked: _AskedPause, what: str) -> None:
        if asked.arrivals == MAX_IN_PAUSE + 1:
            self.violations.append(
                f'{what} as number {asked.arrivals} in a pause'
            )
