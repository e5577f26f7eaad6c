"""Run seeds by hand: ``python -m tests.soak_router --seed 1 --seeds 50``.

``--kind planned`` plays planned work alone, beside endpoints that fall silent.
"""

import asyncio
import signal
import sys
import tempfile
import time

import click

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
@click.option('--clients', default=CLIENTS, help='Clients of planned work.')
@click.option(
    '--habit',
    'habits',
    type=click.Choice(HABITS),
    multiple=True,
    help='What clients of planned work do; all habits by default.',
)
def main(kind, seed, seeds, steps, notices, clients, habits):
    """Run seeds and print the result of each; logs of failed runs are kept."""
    # A run that is ended must end its routers.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = []
    for number in range(seed, seed + seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{number}-')
        started = time.monotonic()
        try:
            if kind == 'planned':
                run = asyncio.run(
                    planned_soak(
                        folder,
                        number,
                        work_of(number, steps),
                        clients,
                        habits or HABITS,
                    )
                )
            else:
                run = asyncio.run(
                    soak(folder, number, steps, has_notices=notices)
                )
            violations = run.violations
            outcomes = dict(run.outcomes)
        except AssertionError as exc:
            run, violations, outcomes = None, [str(exc)], {}
        took_s = time.monotonic() - started
        click.echo(
            f'{number}: {violations or "held"} {took_s:.0f} s {outcomes}'
        )
        if kind == 'planned' and run is not None:
            _show_planned(run, folder)
        if violations:
            failed.append((number, folder))
    for number, folder in failed:
        click.echo(f'failed: {number}, logs in {folder}')
    raise SystemExit(bool(failed))


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
