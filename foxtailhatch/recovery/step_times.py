"""Estimate how long an endpoint takes for a step."""

from dataclasses import dataclass

MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS_ALLOWED = 4


@dataclass(slots=True)
class StepEstimate:
    """A moving mean and mean deviation, in seconds.

    >>> estimate = StepEstimate()
    >>> estimate.add(0.02)
    >>> estimate.mean_s
    0.02
    """

    mean_s: float = 0
    deviation_s: float = 0
    samples: int = 0

    def add(self, sample_s: float) -> None:
        """Take one measured time into the estimate."""
        self.samples += 1
        if self.samples == 1:
            self.mean_s = sample_s
            self.deviation_s = sample_s / 2
            return
        error = sample_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error
        self.deviation_s += DEVIATION_WEIGHT * (abs(error) - self.deviation_s)

    def longest_s(self) -> float:
        """Return a time that few steps exceed."""
        return self.mean_s + DEVIATIONS_ALLOWED * self.deviation_s
