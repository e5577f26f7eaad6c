"""Benchmark results before they are printed."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """Measured figure, its unit, and the baseline from the same run."""

    measure: str
    figure: float
    unit: str
    baseline: float
