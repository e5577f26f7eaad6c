"""Whether the event loop of this entry has more work than it can do in time."""

from collections import deque
from dataclasses import dataclass

# Period of the samples.  One takes 4 microseconds beside the step of its loop.
SAMPLE_PERIOD_S = 0.1
# The time over which lateness and processor use are summed.
LOAD_WINDOW_S = 2.0
# Shorter delays of the loop are usual: collections of garbage, and plans.
LATE_S = 0.1
# The entry is overloaded if its loop was late for this part of the window, or
# if its processor use is above this part of its share.
MAX_LATE_PART = 0.1
MAX_CPU_USE = 0.8
# Load factor of an overloaded entry, and the time for which it is kept after the
# last sign of overload.  Each change is announced to all entries.
OVERLOADED_FACTOR = 0.5
HOLD_S = 3.0


@dataclass(frozen=True, slots=True)
class LoadSample:
    """The time of a sample, the processor time until then, and its lateness."""

    at: float
    cpu_s: float
    late_s: float


class LoopLoad:
    """The lateness of the event loop and the processor use of the process.

    The router has one thread, so it can use at most one core of its share.

    >>> load = LoopLoad(cpu_cores=0.5)
    >>> load.record(0, 0)
    >>> load.record(0.5, 0.1)
    >>> load.longest_lateness_s, load.factor(0.5)
    (0.4, 0.5)
    """

    def __init__(self, cpu_cores: float) -> None:
        """Start without samples; ``cpu_cores`` is the processor share."""
        self._usable_cores = min(cpu_cores, 1)
        self._samples: deque[LoadSample] = deque()
        self._overloaded_until = float('-inf')

    @property
    def longest_lateness_s(self) -> float:
        """Return the longest lateness of the window."""
        return max((sample.late_s for sample in self._samples), default=0)

    def factor(self, now: float) -> float:
        """Return the load factor that the entry announces."""
        return OVERLOADED_FACTOR if now < self._overloaded_until else 1.0

    def record(self, now: float, cpu_s: float) -> None:
        """Record a sample, which was due one period after the one before.

        ``cpu_s`` is the processor time of the process until now.
        """
        samples = self._samples
        since_last_s = now - samples[-1].at if samples else SAMPLE_PERIOD_S
        late_s = max(0, since_last_s - SAMPLE_PERIOD_S)
        samples.append(LoadSample(now, cpu_s, late_s))
        # The first sample that is kept is the last one before the window.
        while len(samples) > 2 and samples[1].at <= now - LOAD_WINDOW_S:
            samples.popleft()
        if self._is_late() or self._is_busy():
            self._overloaded_until = now + HOLD_S

    def _is_late(self) -> bool:
        late = (sample.late_s for sample in self._samples)
        late_s = sum(one for one in late if one > LATE_S)
        return late_s >= MAX_LATE_PART * LOAD_WINDOW_S

    def _is_busy(self) -> bool:
        first, last = self._samples[0], self._samples[-1]
        passed_s = last.at - first.at
        if passed_s < LOAD_WINDOW_S:
            return False
        return last.cpu_s - first.cpu_s > (
            MAX_CPU_USE * self._usable_cores * passed_s
        )
