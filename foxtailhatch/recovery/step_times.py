"""Estimate the step time of an endpoint, as TCP estimates round trips."""

from dataclasses import dataclass

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS_IN_BOUND = 4


@dataclass(slots=True)
class StepEstimate:
    """A moving mean and a moving mean deviation, in seconds.

    >>> estimate = StepEstimate()
    >>> estimate.add(0.02)
    >>> estimate.mean_s
    0.02
    """

    mean_s: float = 0
    deviation_s: float = 0
    samples: int = 0

    def add(self, sample_s: float) -> None:
        """Add a measured time to the estimate."""
        self.samples += 1
        if self.samples == 1:
            self.mean_s = sample_s
            self.deviation_s = sample_s / 2
            return
        error = sample_s - self.mean_s
        self.mean_s += MEAN_GAIN * error
        self.deviation_s += DEVIATION_GAIN * (abs(error) - self.deviation_s)

    def upper_bound_s(self) -> float:
        """Return an upper bound that few steps exceed, in seconds."""
        return self.mean_s + DEVIATIONS_IN_BOUND * self.deviation_s
