"""The ``mark`` subcommand, which sets the mark of an instance."""

import json
from uuid import uuid4

import click
from returns.result import Failure, Success

from foxtailhatch.cli.client import (
    EntryRequest,
    EntryResponse,
    bearer_header,
    send_request,
)
from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.cli.options import entry_option, key_option
from foxtailhatch.core import Mark

MAX_ATTEMPTS = 3


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
    headers = {**bearer_header(key), 'Idempotency-Key': uuid4().hex}
    body = json.dumps({'instance': instance, 'mark': mark_name}).encode()
    request = EntryRequest('POST', '/admin/marks', body, headers)
    last_error = ''
    for _ in range(MAX_ATTEMPTS):
        match send_request(entry, request):
            case Success(response):
                _print_result(response, instance, mark_name)
                return
            case Failure(unreachable):
                last_error = str(unreachable)
    exit_with_error(
        f'{last_error}; the mark may have been set', ExitCode.UNREACHABLE
    )


def _print_result(
    response: EntryResponse, instance: str, mark_name: str
) -> None:
    if not response.is_ok():
        exit_with_error(response.error().message, ExitCode.REFUSED)
    click.echo(f'{instance} is marked {mark_name}')
