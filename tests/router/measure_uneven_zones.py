"""Measure the load of test_uneven_zones.py with any number of entries.

python -m tests.router.measure_uneven_zones --entries 360 --lag 2
"""

import time

import click

from tests.router.test_uneven_zones import (
    LINK_BYTES_PER_S,
    deviation,
    played,
    settled_overruns,
)
from tests.router.zone_model import Load

CHOOSERS = {
    'balanced': {},
    'without balancer': {'is_balanced': False},
    'knows all': {'knows_all': True},
}


@click.command()
@click.option('--entries', default=30)
@click.option('--level', default=0.6, help='demand over capacity')
@click.option('--lag', default=2.0, help='age of totals of other zones')
@click.option('--swing', default=0.0)
@click.option('--seeds', default=1)
@click.option('--loss/--no-loss', default=True)
def main(entries, level, lag, swing, seeds, loss):
    """Print requests offered, refused, and sent to full engines."""
    load = Load(
        entries=entries,
        level=level,
        lag_s=lag,
        swing=swing,
        link_bytes_per_s=LINK_BYTES_PER_S,
    )
    for seed in range(1, seeds + 1):
        for name, kwargs in CHOOSERS.items():
            began_at = time.perf_counter()
            model = played(load, loss, seed=seed, **kwargs)
            took_s = time.perf_counter() - began_at
            click.echo(
                f'{entries} entries, level {level}, lag {lag}, swing {swing}, '
                f'seed {seed}, {name}: offered {model.offered()}, '
                f'refused {model.refusals()}, at full engines '
                f'{len(model.overruns)}, {len(settled_overruns(model))} of '
                f'them late, deviation {deviation(model):.3f}, '
                f'crossings {len(model.crossings)}, took {took_s:.0f} s'
            )


if __name__ == '__main__':
    main()
