"""Cost of idle sessions for an entry: ``python -m bench.sessions``.

Many sessions to one engine are opened and left idle, once with connections
that stay open and once with connections closed after the idle time-out.  Each
line printed is one JSON object; its figure is the cost per session.
"""

import json
import resource
import subprocess
import sys
import time
from typing import Any

import click
from twisted.internet import asyncioreactor

from bench.relay import started_engine
from foxtailhatch.core import Address, Endpoint, EndpointKind
from foxtailhatch.outside import DownFrame
from foxtailhatch.outside.engine_http import HttpEngine
from foxtailhatch.outside.http_client import HttpClient
from foxtailhatch.outside.session_http import SessionTiming

NO_TIMEOUT_S = 1e6
KINDS = {'kept_open': NO_TIMEOUT_S, 'resting': 1.0}
SETTLE_S = 3.0
OPEN_INTERVAL_S = 0.01


class _IdleSessions:
    """Sessions that are opened one after the other and then left idle."""

    def __init__(self, kind: str, address: str, count: int, loop: Any) -> None:
        self.loop = loop
        self.count = count
        self.lost: list[str] = []
        self.opened: list[Any] = []
        timing = SessionTiming(idle_timeout_s=KINDS[kind])
        self.engine = HttpEngine(HttpClient(loop), timing)
        host, port = address.split(':')
        self.endpoint = Endpoint(
            'ep',
            Address(host, int(port)),
            EndpointKind.ENGINE,
            'whk-a',
        )
        self.before_kb = _memory_kb()
        self.started_cpu_s: float = 0
        self.started_at: float = 0

    def open(self, seconds: float) -> None:
        """Open the next session, or schedule the measurement if all are open."""
        if len(self.opened) < self.count:
            self.opened.append(self.engine.open_session(self.endpoint, self))
            self.loop.callLater(OPEN_INTERVAL_S, self.open, seconds)
        else:
            self.loop.callLater(SETTLE_S, self.start_measurement, seconds)

    def start_measurement(self, seconds: float) -> None:
        """Start the measurement."""
        self.started_cpu_s = time.process_time()
        self.started_at = time.monotonic()
        self.loop.callLater(seconds, self.finish_measurement)

    def finish_measurement(self) -> None:
        """Print the cost per session and stop the loop."""
        spent_s = time.process_time() - self.started_cpu_s
        elapsed_s = time.monotonic() - self.started_at
        report = {
            'us_each_s': spent_s / elapsed_s / self.count * 1e6,
            'kb': (_memory_kb() - self.before_kb) / self.count,
            'lost': len(self.lost),
        }
        print(json.dumps(report))
        self.loop.stop()

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Ignore the frame."""

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Record the loss, which invalidates the measurement."""
        self.lost.append(reason)


@click.group(invoke_without_command=True)
@click.option('--sessions', default=300)
@click.option('--seconds', default=10.0)
@click.pass_context
def main(ctx: click.Context, sessions: int, seconds: float) -> None:
    """Compare sessions that stay open with ones that close when idle."""
    if ctx.invoked_subcommand is not None:
        return
    with started_engine(0, 0) as address:
        figures = {
            kind: _measure_kind(kind, address, sessions, seconds)
            for kind in KINDS
        }
    baseline = figures['kept_open']
    for kind, figure in figures.items():
        for measure, unit in (
            ('us_each_s', 'us of processor time a second and session'),
            ('kb', 'KB of memory a session'),
        ):
            line = {
                'measure': f'session_{kind}_{measure}',
                'figure': round(figure[measure], 1),
                'unit': unit,
                'baseline': round(baseline[measure], 1),
                'ratio': round(figure[measure] / baseline[measure], 3),
            }
            print(json.dumps(line))


@main.command()
@click.argument('kind', type=click.Choice(list(KINDS)))
@click.argument('address')
@click.argument('sessions', type=int)
@click.argument('seconds', type=float)
def idle(kind: str, address: str, sessions: int, seconds: float) -> None:
    """Open sessions, wait, and print their cost."""
    asyncioreactor.install()
    from twisted.internet import reactor

    loop: Any = reactor
    _IdleSessions(kind, address, sessions, loop).open(seconds)
    loop.run()


def _memory_kb() -> float:
    """Return the peak memory of this process in KB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def _measure_kind(
    kind: str,
    address: str,
    sessions: int,
    seconds: float,
) -> dict[str, float]:
    """Measure one kind of session in its own process."""
    command = [sys.executable, '-m', 'bench.sessions', 'idle', kind]
    completed = subprocess.run(
        [*command, address, str(sessions), str(seconds)],
        stdout=subprocess.PIPE,
        check=True,
    )
    report: dict[str, float] = json.loads(completed.stdout)
    if report['lost']:
        sys.exit(f'{kind}: sessions were lost: {report["lost"]}')
    return report


if __name__ == '__main__':
    main()
