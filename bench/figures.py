"""What a benchmark found, before it is reported."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure, its unit, and the baseline of the same run."""

    measure: str
    figure: float
    unit: str
    baseline: float
