"""The subcommand that runs an entry."""

import sys
from pathlib import Path

import click
from returns.result import Failure, Success

from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.daemon.settings import load_settings


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=Path),
    help='The JSON file with the settings of this instance.',
)
def serve(path: Path) -> None:
    """Run an entry in the foreground until it is stopped.

    SIGTERM stops it without cutting off requests in progress.

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
            leave('\n'.join(str(fault) for fault in faults), Exit.FAULTY)
