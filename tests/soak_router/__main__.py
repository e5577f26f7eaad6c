"""Play seeds by hand: ``python -m tests.soak_router --seed 1 --seeds 50``."""

import asyncio
import tempfile
import time

import click

from tests.soak_router.soak import soak


@click.command()
@click.option('--seed', default=1, help='The first seed.')
@click.option('--seeds', default=1, help='How many seeds.')
@click.option('--steps', default=12, help='Faults of each run.')
def main(seed, seeds, steps):
    """Play seeds and say what each found; logs of failed ones are kept."""
    failed = []
    for number in range(seed, seed + seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{number}-')
        begun = time.monotonic()
        try:
            run = asyncio.run(soak(folder, number, steps))
            broken = run.broken
            outcomes = dict(run.outcomes)
        except AssertionError as exc:
            broken, outcomes = [str(exc)], {}
        took_s = time.monotonic() - begun
        click.echo(f'{number}: {broken or "held"} {took_s:.0f} s {outcomes}')
        if broken:
            failed.append((number, folder))
    for number, folder in failed:
        click.echo(f'failed: {number}, logs in {folder}')
    raise SystemExit(bool(failed))


if __name__ == '__main__':
    main()
