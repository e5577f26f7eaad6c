"""The ``serve`` subcommand, which runs an entry."""

import sys
from pathlib import Path

import click
from returns.result import Failure, Success

from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.daemon.settings import load_settings


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=Path),
    help='The JSON settings file of this instance.',
)
def serve(path: Path) -> None:
    """Run an entry in the foreground until it is stopped.

    SIGTERM stops it after the requests in progress have completed.

    \b
    Example:
      foxtailhatch serve --settings examples/thrissur/settings.json
    """
    match load_settings(path):
        case Success(cfg):
            # The daemon installs the reactor, which no other subcommand needs.
            from foxtailhatch.daemon.app import run  # noqa: WPS433

            sys.exit(run(cfg))
        case Failure(faults):
            exit_with_error(
                '\n'.join(str(fault) for fault in faults),
                ExitCode.INVALID_INPUT,
            )
