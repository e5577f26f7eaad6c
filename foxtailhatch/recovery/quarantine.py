"""Parts of prompts that crash endpoints, and when to try them again.

A verdict may be wrong, so a part is tried again with one request at a time,
after pauses that grow.  Each trial may cost an endpoint: their number is limited,
and a part that is no longer asked for is forgotten.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Pause before the first trial; layers of a crashed endpoint are loaded again
# within this time.  Each further pause is longer by the factor.
TRIAL_PAUSE_S = 10.0
TRIAL_PAUSE_FACTOR = 6.0
MAX_TRIALS = 3
# A part that nobody asks for during this time is released.
IDLE_S = 600.0
# A part that is asked for is announced again after this time, so that entries
# without such requests keep it as well.
RENEWAL_S = 200.0
MAX_PARTS = 1024


@dataclass(slots=True)
class _Entry:
    """State of one part; times are in seconds on the entry's clock."""

    changed_at: float
    requested_at: float
    announced_at: float
    trials: int = 0

    @property
    def trial_at(self) -> float:
        """Return when the next trial may begin."""
        if self.trials >= MAX_TRIALS:
            return float('inf')
        pause_s = TRIAL_PAUSE_S * TRIAL_PAUSE_FACTOR**self.trials
        return self.changed_at + pause_s


class Quarantine:
    """The quarantined parts.

    >>> quarantine = Quarantine()
    >>> quarantine.add('bad', now=5.0)
    True
    >>> quarantine.blocking(('shared', 'bad'))
    ['bad']
    """

    def __init__(self) -> None:
        """Start with no part."""
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        """Return the number of quarantined parts."""
        return len(self._entries)

    def add(self, part: str, now: float, trials: int = 0) -> bool:
        """Quarantine a part; return whether that or its trials are new.

        ``trials`` is the number of trials that are known to have begun.
        """
        known = self._entries.get(part)
        if known is None:
            while len(self._entries) >= MAX_PARTS:
                self._entries.pop(next(iter(self._entries)))
            self._entries[part] = _Entry(now, now, now, trials)
            return True
        known.announced_at = now
        known.requested_at = now
        if trials <= known.trials:
            return False
        known.trials = trials
        known.changed_at = now
        return True

    def lift(self, part: str) -> bool:
        """Release a part; return whether it was quarantined."""
        return self._entries.pop(part, None) is not None

    def blocking(self, parts: Iterable[str]) -> list[str]:
        """Return those of the parts that are quarantined."""
        if not self._entries:
            return []
        return [part for part in parts if part in self._entries]

    def record_request(self, parts: Iterable[str], now: float) -> None:
        """Record that a request with quarantined parts arrived."""
        for part in self.blocking(parts):
            self._entries[part].requested_at = now

    def all_trials(self) -> dict[str, int]:
        """Return the number of trials that have begun, of each part."""
        return {part: entry.trials for part, entry in self._entries.items()}

    def trials(self, part: str) -> int:
        """Return the number of trials of a part that have begun."""
        entry = self._entries.get(part)
        return 0 if entry is None else entry.trials

    def is_trial_due(self, part: str, now: float) -> bool:
        """Return whether a part may be tried again."""
        entry = self._entries.get(part)
        return entry is not None and now >= entry.trial_at

    def retry_after_s(self, parts: Iterable[str], now: float) -> float:
        """Return after which time a request with these parts may be served."""
        waits = [
            self._entries[part].trial_at - now for part in self.blocking(parts)
        ]
        return min(IDLE_S, max(TRIAL_PAUSE_S, *waits, 0))

    def due_for_renewal(self, now: float) -> list[str]:
        """Return the parts that are asked for and have to be announced."""
        return [
            part
            for part, entry in self._entries.items()
            if now - entry.announced_at >= RENEWAL_S
            and entry.requested_at > entry.announced_at
        ]

    def expired(self, now: float) -> list[str]:
        """Return the parts that have not been asked for."""
        return [
            part
            for part, entry in self._entries.items()
            if now - max(entry.requested_at, entry.announced_at) >= IDLE_S
        ]
