"""The subcommand that shows what one entry says of itself."""

import json

import click
from returns.result import Failure, Success

from foxtailhatch.cli.client import make_call
from foxtailhatch.cli.entries import STATUS
from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.cli.options import entry_option


@click.command()
@entry_option
def status(entry: str) -> None:
    """Show an entry's state as JSON.

    \b
    Example:
      foxtailhatch status --entry 10.20.1.11:8080
    """
    match make_call(entry, STATUS):
        case Success(answer) if answer.is_ok():
            click.echo(json.dumps(answer.document(), indent=2))
        case Success(answer):
            leave(answer.error().message, Exit.REFUSED)
        case Failure(unreachable):
            leave(str(unreachable), Exit.UNREACHABLE)
