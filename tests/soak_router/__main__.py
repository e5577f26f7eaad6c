"""Run seeds by hand: ``python -m tests.soak_router --seed 1 --seeds 50``.

``--kind planned`` plays planned work alone, beside endpoints that fall silent.
``--old COMMIT`` starts the routers from the build of that commit, and replaces them.
"""

import asyncio
import signal
import sys
import tempfile
import time
from contextlib import nullcontext

import click

from tests.soak_router.mixed import build_of, mixed_soak
from tests.soak_router.planned_clients import HABITS
from tests.soak_router.planned_verdict import log_lines
from tests.soak_router.planned_work import CLIENTS, planned_soak, work_of
from tests.soak_router.soak import soak


@click.command()
@click.option(
    '--kind', type=click.Choice(['faults', 'planned']), default='faults'
)
@click.option('--seed', default=1, help='The first seed.')
@click.option('--seeds', default=1, help='Number of seeds.')
@click.option('--steps', default=12, help='Faults or planned work in each run.')
@click.option(
    '--notices/--no-notices',
    default=True,
    help='Whether endpoints leave by their own word and ask for pauses.',
)
@click.option('--old', help='Commit of the build that is replaced.')
@click.option('--clients', default=CLIENTS, help='Clients of planned work.')
@click.option(
    '--habit',
    'habits',
    type=click.Choice(HABITS),
    multiple=True,
    help='What clients of planned work do; all habits by default.',
)
def main(kind, seed, seeds, steps, notices, old, clients, habits):
    """Run seeds and print the result of each; logs of failed runs are kept."""
    # A run that is ended must end its routers.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with build_of(old) if old else nullcontext() as build:

        def play(folder, number):
            if kind == 'planned':
                work = work_of(number, steps)
                return planned_soak(
                    folder, number, work, clients, habits or HABITS
                )
            if build is not None:
                return mixed_soak(
                    folder, build, number, steps, has_notices=notices
                )
            return soak(folder, number, steps, has_notices=notices)

        failed = _play_all(range(seed, seed + seeds), play)
    for number, folder in failed:
        click.echo(f'failed: {number}, logs in {folder}')
    raise SystemExit(bool(failed))


def _play_all(numbers, play):
    """Play seeds; return those that failed, with the folders of their logs."""
    failed = []
    for number in numbers:
        folder = tempfile.mkdtemp(prefix=f'soak-{number}-')
        started = time.monotonic()
        try:
            run = asyncio.run(play(folder, number))
            violations = run.violations
            outcomes = dict(run.outcomes)
        except AssertionError as exc:
            run, violations, outcomes = None, [str(exc)], {}
        took_s = time.monotonic() - started
        click.echo(
            f'{number}: {violations or "held"} {took_s:.0f} s {outcomes}'
        )
        if hasattr(run, 'work'):
            _show_planned(run, folder)
        if hasattr(run, 'replaced'):
            click.echo(f'  {", ".join(run.replaced)}')
        if violations:
            failed.append((number, folder))
    return failed


def _show_planned(run, folder):
    """Print the planned work, and the log lines of each violation."""
    click.echo(
        f'  refused in calm: {run.refused_in_calm};'
        f' stand-ins late by at most {run.worst_lag_s:.2f} s;'
        f' {" ".join(run.work)}'
    )
    for ended in run.exempt:
        click.echo(f'  allowed: {ended}')
    for violation in run.violations:
        request_id = violation.split(' ')[0]
        click.echo(f'  {violation}')
        for line in log_lines(folder, request_id):
            click.echo(f'    {line}')


if __name__ == '__main__':
    main()
