"""Run a plain service: ``python -m standins.plain_service --help``.

Every executed ``POST`` is counted under its idempotency key.  ``GET /runs``
returns the number of executions per key; all other ``GET`` calls have no
effect.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import click

from standins.faults import Faults
from standins.http_app import CONFLICT, Call, Reply, reply
from standins.process import serve

KEY_HEADER: Final = 'idempotency-key'


@dataclass(slots=True)
class PlainStandIn:
    """Service that counts executions per idempotency key."""

    name: str = 'desk'
    check_key: bool = False
    faults: Faults = field(default_factory=Faults)
    runs: Counter[str] = field(default_factory=Counter)

    def answer(self, call: Call) -> Reply | None:
        """Execute a ``POST``, or return the execution counts or an echo."""
        path = '/'.join(call.path)
        if call.method != 'POST':
            shown = {'runs': self.runs, 'total': self.runs.total()}
            return reply(
                shown if path == 'runs' else {'service': self.name, 'at': path},
            )
        key = call.headers.get(KEY_HEADER, '')
        if self.check_key and key and key in self.runs:
            return reply({'error': 'idempotency key already used'}, CONFLICT)
        self.runs[key] += 1
        if self.faults.consume('lose_ack'):
            return None
        return reply(
            {
                'service': self.name,
                'at': path,
                'run': self.runs.total(),
                'body': call.body.decode(errors='replace'),
            },
        )


@click.command()
@click.option('--name', default='desk')
@click.option('--port', default=0)
@click.option('--zone', default='', help='Ignored; for launchers only.')
@click.option('--check-key', is_flag=True, help='Refuse a key seen before.')
def main(name: str, port: int, zone: str, check_key: bool) -> None:
    """Run a stand-in for a plain service that is not an engine."""
    serve(name, port, lambda _: PlainStandIn(name, check_key))


if __name__ == '__main__':
    main()
