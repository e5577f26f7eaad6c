"""When to ask which engine for its load report.

Reports cost bytes and processor time, so the rate of all polls together is
bounded.  Engines never heard of go first, then those that this entry sends
work to, then the rest in turn.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

ACTIVE_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 5.0
POLLS_PER_S = 40.0
POLLS_BURST = 64.0


@dataclass(frozen=True, slots=True)
class PollCandidate:
    """An engine, and whether this entry has streams on it."""

    endpoint: str
    active: bool


@dataclass(slots=True)
class PollSchedule:
    """Choose the engines to poll now, within a rate.

    >>> schedule = PollSchedule()
    >>> one = PollCandidate('gpu-1', active=False)
    >>> schedule.take_due([one], 0.0), schedule.take_due([one], 1.0)
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
        """Return the engines to poll now; they count as polled."""
        gained = max(0, now - self.filled_at) * self.polls_per_s
        self.tokens = min(POLLS_BURST, self.tokens + gained)
        self.filled_at = now
        waiting = {
            candidate.endpoint: self._due_at(candidate)
            for candidate in candidates
        }
        late = [name for name, due_at in waiting.items() if due_at <= now]
        late.sort(key=waiting.__getitem__)
        chosen = late[: int(self.tokens)]
        self.tokens -= len(chosen)
        for name in chosen:
            self.polled_at[name] = now
        return chosen

    def remove_endpoint(self, endpoint: str) -> None:
        """Drop an engine, so that it goes first when it comes back."""
        self.polled_at.pop(endpoint, None)

    def _due_at(self, candidate: PollCandidate) -> float:
        polled_at = self.polled_at.get(candidate.endpoint)
        if polled_at is None:
            return float('-inf')
        if candidate.active:
            return polled_at + ACTIVE_INTERVAL_S
        return polled_at + IDLE_INTERVAL_S
