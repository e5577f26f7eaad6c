"""Output of benchmark results as JSON lines."""

import json
import sys


def report(
    measure: str,
    figure: float,
    unit: str,
    baseline: float,
    **more: object,
) -> None:
    """Print a figure with its baseline from the same run as a JSON line."""
    line = {
        'measure': measure,
        'figure': figure,
        'unit': unit,
        'baseline': baseline,
        'ratio': round(figure / baseline, 3) if baseline else None,
        **more,
    }
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()
