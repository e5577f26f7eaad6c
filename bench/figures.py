"""The form of every figure: one JSON object a line."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure, its unit, and the baseline of the same run."""

    measure: str
    figure: float
    unit: str
    baseline: float | None = None

    def line(self) -> str:
        """Return the JSON object."""
        ratio = self.figure / self.baseline if self.baseline else None
        return json.dumps({**asdict(self), 'ratio': ratio})
