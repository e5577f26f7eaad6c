"""The ``status`` subcommand, which shows the state of an entry."""

import json

import click
from returns.result import Failure, Success

from foxtailhatch.cli.client import send_request
from foxtailhatch.cli.entries import STATUS_REQUEST
from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.cli.options import entry_option


@click.command()
@entry_option
def status(entry: str) -> None:
    """Show the state of an entry as JSON.

    \b
    Example:
      foxtailhatch status --entry 10.20.1.11:8080
    """
    match send_request(entry, STATUS_REQUEST):
        case Success(response) if response.is_ok():
            click.echo(json.dumps(response.json_document(), indent=2))
        case Success(response):
            exit_with_error(response.error().message, ExitCode.REFUSED)
        case Failure(unreachable):
            exit_with_error(str(unreachable), ExitCode.UNREACHABLE)
