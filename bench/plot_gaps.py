"""Plot the gaps between tokens around the failure of a stage.

``python -m bench.plot_gaps`` streams one answer over three stages with two
engines each, kills an engine in the middle, and writes
``docs/token-gaps.png``.
"""

import time
from itertools import pairwise
from pathlib import Path

from matplotlib import pyplot

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    System,
    configuration,
    environment,
    open_response,
    start_platform,
)

TOKENS = 80
KILL_AT = 40
STEP_S = '0.01'
RECOVERY_GOAL_MS = 540
BETWEEN_TOKENS_GOAL_MS = 54
MS_PER_S = 1000
PLOT = Path('docs/token-gaps.png')
DATA_PREFIX = b'data: {'


def main() -> None:
    """Measure and plot one answer."""
    with new_launcher(environment()) as launcher:
        system = start_platform(launcher)
        _start(system)
        gaps = _gaps(system)
    _plot(gaps)


def _start(system: System) -> None:
    third = LAYERS // 3
    for number in range(6):
        first = number % 3 * third
        system.start_engine(
            f'engine-{number}',
            'thrissur-a',
            (first, first + third),
            '--base-s',
            STEP_S,
        )
    system.start_entry('entry-0', 'thrissur-a')
    system.publish(configuration(), 0, 'entry-0')
    system.wait_until_ready('entry-0')


def _gaps(system: System) -> list[float]:
    document = {
        'model': MODEL,
        'prompt': 'untangle strand 7',
        'max_tokens': TOKENS,
        'stream': True,
    }
    address = system.entries['entry-0'].address
    response = open_response(
        address, 'POST', '/v1/completions', document, TOKEN
    )
    times: list[float] = []
    for line in response:
        if not line.startswith(DATA_PREFIX):
            continue
        times.append(time.perf_counter())
        if len(times) == KILL_AT:
            _kill_one(system)
    return [
        (later - earlier) * MS_PER_S
        for earlier, later in pairwise(times[:TOKENS])
    ]


def _kill_one(system: System) -> None:
    busy = system.status('entry-0')['sessions']
    if busy:
        system.engines.pop(busy[0]).kill()


def _plot(gaps: list[float]) -> None:
    figure, axes = pyplot.subplots(figsize=(8, 3.5), layout='tight')
    axes.bar(range(1, len(gaps) + 1), gaps, width=1.0)
    axes.axhline(
        RECOVERY_GOAL_MS, color='red', label='goal after a failure, 540 ms'
    )
    axes.axhline(
        BETWEEN_TOKENS_GOAL_MS,
        color='orange',
        label='goal between tokens, 54 ms',
    )
    axes.axvline(KILL_AT, color='black', linestyle=':', label='engine killed')
    axes.set(
        yscale='log',
        ylim=(10, 1000),
        xlabel='token',
        ylabel='gap before it, ms',
    )
    axes.legend(loc='upper right')
    figure.savefig(PLOT, dpi=100)


if __name__ == '__main__':
    main()
