"""How the time of a decoding step grows with an engine's batch depth."""

from dataclasses import dataclass

SAMPLE_DECAY = 0.9
PRIOR_SLOPE_SHARE = 0.02
SMALLEST_VARIANCE = 0.25


@dataclass(slots=True)
class DepthCurve:
    """Fit ``seconds = base + slope * depth`` to weighted samples.

    Each new sample takes weight from the older ones, so that the line follows
    an engine that changes.  While all samples have about one depth, the slope
    is a fixed share of the mean, because they tell nothing about it.

    >>> curve = DepthCurve()
    >>> for depth, seconds in ((2, 0.02), (4, 0.03), (6, 0.04)):
    ...     curve.add(depth, seconds)
    >>> round(curve.at(8), 6)
    0.05
    """

    weight: float = 0
    depth_mean: float = 0
    seconds_mean: float = 0
    depth_variance: float = 0
    covariance: float = 0

    def add(self, depth: float, seconds: float) -> None:
        """Take one sample: a step at ``depth`` streams took ``seconds``."""
        self.weight = self.weight * SAMPLE_DECAY + 1
        share = 1 / self.weight
        depth_gap = depth - self.depth_mean
        seconds_gap = seconds - self.seconds_mean
        self.depth_mean += share * depth_gap
        self.seconds_mean += share * seconds_gap
        kept = 1 - share
        self.depth_variance = kept * (
            self.depth_variance + share * depth_gap**2
        )
        self.covariance = kept * (
            self.covariance + share * depth_gap * seconds_gap
        )

    @property
    def slope(self) -> float:
        """Return the seconds that one more stream adds to a step."""
        if self.depth_variance < SMALLEST_VARIANCE:
            return self.seconds_mean * PRIOR_SLOPE_SHARE
        return max(0, self.covariance / self.depth_variance)

    def at(self, depth: float) -> float:
        """Return the expected seconds of a step at ``depth`` streams."""
        expected = self.seconds_mean + self.slope * (depth - self.depth_mean)
        return max(expected, self.seconds_mean * PRIOR_SLOPE_SHARE)
