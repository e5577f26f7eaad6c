"""The ``foxtailhatch`` command."""

import click

from foxtailhatch import __version__


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Route requests over pipelines of model layers."""
