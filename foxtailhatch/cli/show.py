"""The subcommand that shows the configuration in force."""

import json

import click

from foxtailhatch.cli.entries import all_entries, status_of
from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.cli.in_force import configuration_in_force
from foxtailhatch.cli.options import entry_option, key_option


@click.command()
@entry_option
@key_option
@click.option(
    '--document',
    'only_document',
    is_flag=True,
    help='Write the document alone, as publish takes it.',
)
def show(entry: str, key: str, only_document: bool) -> None:
    """Show which version is in force at each entry, and the document.

    \b
    Example:
      foxtailhatch show --entry 10.20.1.11:8080
    """
    in_force = configuration_in_force(entry, key)
    if in_force is None:
        leave('No configuration is in force yet.', Exit.REFUSED)
    if not only_document:
        _show_versions(entry)
    click.echo(json.dumps(in_force.document, indent=2))


def _show_versions(entry: str) -> None:
    for address in all_entries((entry,)):
        status = status_of(address)
        if status is None:
            click.echo(f'{address} does not answer')
        else:
            version = status.configuration_version
            click.echo(f'{address} {status.instance} version {version}')
