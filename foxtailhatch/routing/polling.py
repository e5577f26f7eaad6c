"""Schedule the polls of engines for load reports.

Reports cost bandwidth and processor time, so the total poll rate is bounded
by a token bucket.  Engines that were never polled come first; active engines,
to which this entry sends work, are polled more often than idle ones.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

ACTIVE_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 5.0
POLLS_PER_S = 40.0
POLLS_BURST = 64.0


@dataclass(frozen=True, slots=True)
class PollCandidate:
    """An engine endpoint; ``active`` if this entry has streams on it."""

    endpoint: str
    active: bool


@dataclass(slots=True)
class PollSchedule:
    """Choose the engines to poll now, within the rate limit.

    >>> schedule = PollSchedule()
    >>> candidate = PollCandidate('gpu-1', active=False)
    >>> schedule.take_due([candidate], 0.0), schedule.take_due([candidate], 1.0)
    (['gpu-1'], [])
    """

    polls_per_s: float = POLLS_PER_S
    tokens: float = POLLS_BURST
    filled_at: float = 0
    polled_at: dict[str, float] = field(default_factory=dict)

    def take_due(
        self,
        candidates: Iterable[PollCandidate],
        now: float,
    ) -> list[str]:
        """Return the engines to poll now, and record them as polled."""
        gained = max(0, now - self.filled_at) * self.polls_per_s
        self.tokens = min(POLLS_BURST, self.tokens + gained)
        self.filled_at = now
        due_times = {
            candidate.endpoint: self._due_at(candidate)
            for candidate in candidates
        }
        overdue = [name for name, due_at in due_times.items() if due_at <= now]
        overdue.sort(key=due_times.__getitem__)
        chosen = overdue[: int(self.tokens)]
        self.tokens -= len(chosen)
        for name in chosen:
            self.polled_at[name] = now
        return chosen

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove an engine, so that it is polled first if it returns."""
        self.polled_at.pop(endpoint, None)

    def _due_at(self, candidate: PollCandidate) -> float:
        polled_at = self.polled_at.get(candidate.endpoint)
        if polled_at is None:
            return float('-inf')
        if candidate.active:
            return polled_at + ACTIVE_INTERVAL_S
        return polled_at + IDLE_INTERVAL_S
