"""Routing by batch depth against least loaded: ``python -m bench.batch_depth``.

Tezcan and Zhang (2014, Routing and Staffing in Customer Service Chat Systems
with Impatient Customers) call a level of sharing inefficient if a mix of a
lower and a higher level does more, and fill engines past such levels.  Here
identical engines serve answers at a rate that depends on their level.  The
mean time in the system is compared with least-loaded routing for the stand-in
engine's curve and for an engine that pads its batches.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise, repeat

from bench.report import report

ENGINES = 40
TOP_LEVEL = 16
ANSWER_TOKENS = 48
BASE_S = 0.0032
PER_STREAM_S = 0.00048
PADDED_BASE_S = 0.001
PADDED_PER_STREAM_S = 0.001
PADDING = 4
LOADS = (0.5, 0.7, 0.85, 0.95)
DURATION_S = 60.0
SEED = 1

Rate = Callable[[int], float]


def stand_in_rate(level: int) -> float:
    """Return the answers per second of the stand-in engine at a level."""
    return level / (BASE_S + PER_STREAM_S * level) / ANSWER_TOKENS


def padded_rate(level: int) -> float:
    """Return the answers per second of an engine that pads its batches."""
    padded = -(-level // PADDING) * PADDING
    step_s = PADDED_BASE_S + PADDED_PER_STREAM_S * padded
    return level / step_s / ANSWER_TOKENS


def efficient_levels(rate: Rate) -> list[int]:
    """Return the levels on the upper concave envelope of the rates."""
    hull: list[int] = []
    for level in range(TOP_LEVEL + 1):
        while len(hull) > 1 and _is_below_chord(
            rate, hull[-2], hull[-1], level
        ):
            hull.pop()
        hull.append(level)
    return hull


def _is_below_chord(rate: Rate, low: int, middle: int, high: int) -> bool:
    slope = (rate(high) - rate(low)) / (high - low)
    return rate(middle) <= rate(low) + slope * (middle - low)


def paper_order(rate: Rate) -> list[int]:
    """Return the levels in the paper's order of preference for an answer."""
    order: list[int] = []
    for low, high in pairwise(efficient_levels(rate)):
        order.extend(range(high - 1, low - 1, -1))
    return order


@dataclass(slots=True)
class Levels:
    """Number of engines at each level, and number of waiting answers."""

    engines: list[int]
    waiting: int = 0

    def arrive(self, order: Sequence[int]) -> None:
        """Assign an answer to an engine at the first non-empty level, or queue it."""
        for level in order:
            if self.engines[level]:
                self._move(level, level + 1)
                return
        self.waiting += 1

    def finish(self, level: int) -> None:
        """Finish an answer at an engine and start a waiting one."""
        if self.waiting:
            self.waiting -= 1
        else:
            self._move(level, level - 1)

    def rates(self, rate: Rate) -> list[float]:
        """Return the answers finished per second at each level."""
        return [count * rate(level) for level, count in enumerate(self.engines)]

    def answers(self) -> int:
        """Return the number of answers in the system."""
        held = sum(level * count for level, count in enumerate(self.engines))
        return held + self.waiting

    def _move(self, before: int, after: int) -> None:
        self.engines[before] -= 1
        self.engines[after] += 1


def time_in_system(rate: Rate, order: Sequence[int], load: float) -> float:
    """Return the mean seconds from arrival to completion of an answer."""
    rng = random.Random(SEED)
    levels = Levels([ENGINES, *repeat(0, TOP_LEVEL)])
    arrivals = load * ENGINES * rate(TOP_LEVEL)
    now: float = 0
    area: float = 0
    while now < DURATION_S:
        rates = levels.rates(rate)
        elapsed_s = rng.expovariate(arrivals + sum(rates))
        now += elapsed_s
        area += elapsed_s * levels.answers()
        # The last index is an arrival; any other is a completion at that level.
        event = rng.choices(range(TOP_LEVEL + 2), [*rates, arrivals])[0]
        if event > TOP_LEVEL:
            levels.arrive(order)
        else:
            levels.finish(event)
    return area / now / arrivals


def main() -> None:
    """Print one JSON object per line."""
    curves: dict[str, Rate] = {
        'stand_in': stand_in_rate,
        'padded': padded_rate,
    }
    for name, rate in curves.items():
        for load in LOADS:
            report(
                f'batch_depth_{name}_time_in_system_at_{load}',
                time_in_system(rate, paper_order(rate), load),
                's',
                time_in_system(rate, range(TOP_LEVEL), load),
            )


if __name__ == '__main__':
    main()
