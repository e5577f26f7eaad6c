"""The subcommand that marks an instance."""

import json
from uuid import uuid4

import click
from returns.result import Failure, Success

from foxtailhatch.cli.client import Answer, Call, bearer, make_call
from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.cli.options import entry_option, key_option
from foxtailhatch.core import Mark

TRIES = 3


@click.command()
@click.argument('instance')
@click.argument(
    'mark_name',
    metavar='MARK',
    type=click.Choice([each.value for each in Mark]),
)
@entry_option
@key_option
def mark(instance: str, mark_name: str, entry: str, key: str) -> None:
    """Mark INSTANCE to join, leave or stop.

    \b
    Example:
      foxtailhatch mark thrissur-entry-2 stop --entry 10.20.1.11:8080
    """
    headers = {**bearer(key), 'Idempotency-Key': uuid4().hex}
    body = json.dumps({'instance': instance, 'mark': mark_name}).encode()
    call = Call('POST', '/admin/marks', body, headers)
    heard = ''
    for _ in range(TRIES):
        match make_call(entry, call):
            case Success(answer):
                _show(answer, instance, mark_name)
                return
            case Failure(unreachable):
                heard = str(unreachable)
    leave(f'{heard}; it may have been marked', Exit.UNREACHABLE)


def _show(answer: Answer, instance: str, mark_name: str) -> None:
    if not answer.is_ok():
        leave(answer.error().message, Exit.REFUSED)
    click.echo(f'{instance} is marked {mark_name}')
