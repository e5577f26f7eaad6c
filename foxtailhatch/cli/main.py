"""The ``foxtailhatch`` command."""

import click

from foxtailhatch import __version__
from foxtailhatch.cli.serve import serve


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Route requests over pipelines of model layers."""


main.add_command(serve)
