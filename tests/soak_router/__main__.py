"""Run seeds by hand: ``python -m tests.soak_router --seed 1 --seeds 50``."""

import asyncio
import tempfile
import time

import click

from tests.soak_router.soak import soak


@click.command()
@click.option('--seed', default=1, help='The first seed.')
@click.option('--seeds', default=1, help='Number of seeds.')
@click.option('--steps', default=12, help='Number of faults in each run.')
@click.option(
    '--notices/--no-notices',
    default=True,
    help='Whether endpoints leave by their own word and ask for pauses.',
)
def main(seed, seeds, steps, notices):
    """Run seeds and print the result of each; logs of failed runs are kept."""
    failed = []
    for number in range(seed, seed + seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{number}-')
        started = time.monotonic()
        try:
            run = asyncio.run(soak(folder, number, steps, has_notices=notices))
            violations = run.violations
            outcomes = dict(run.outcomes)
        except AssertionError as exc:
            violations, outcomes = [str(exc)], {}
        took_s = time.monotonic() - started
        click.echo(
            f'{number}: {violations or "held"} {took_s:.0f} s {outcomes}'
        )
        if violations:
            failed.append((number, folder))
    for number, folder in failed:
        click.echo(f'failed: {number}, logs in {folder}')
    raise SystemExit(bool(failed))


if __name__ == '__main__':
    main()
