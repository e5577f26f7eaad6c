"""The ``route`` subcommand, which runs a router on the platform."""

import sys

import click

from foxtailhatch.core.document_types import MAX_PORT


@click.command()
@click.option(
    '--metrics-port',
    default=0,
    type=click.IntRange(0, MAX_PORT),
    help='The port to serve metrics on; 0 disables them.',
)
def route(metrics_port: int) -> None:
    """Run a router on the platform until it is stopped.

    The platform passes the path of the settings file in the environment.

    \b
    Example:
      foxtailhatch route --metrics-port 7355
    """
    # The router installs the reactor, which no other subcommand needs.
    from foxtailhatch.platform.process import run  # noqa: WPS433

    sys.exit(run(metrics_port))
