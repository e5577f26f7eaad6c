"""Run a long soak: ``python -m tests.soak --seed 1 --steps 200``."""

import sys

import click

from foxtailhatch.core.invariants import check_counts
from tests.soak.schedule import draw, run, shrink


@click.command()
@click.option('--seed', default=1)
@click.option('--steps', default=200)
def main(seed, steps):
    """Run one schedule; print a minimized schedule if it fails."""
    schedule = draw(seed, steps)
    soak, violations = run(schedule)
    click.echo(
        f'seed {seed}: {steps} steps, {soak.injected} faults, '
        f'{soak.sim.loop.time():.0f} virtual seconds, '
        f'{sum(answer.finished for answer in soak.answers)} of '
        f'{len(soak.answers)} answers complete, {len(soak.entries)} entries, '
        f'{check_counts.total()} invariant checks',
    )
    if violations:
        click.echo('\n'.join(violations))
        click.echo('Minimized schedule:')
        click.echo('\n'.join(map(str, shrink(schedule))))
        sys.exit(1)


if __name__ == '__main__':
    main()
