"""The ``show`` subcommand, which shows the configuration in force."""

import json

import click

from foxtailhatch.cli.configuration_in_force import fetch_configuration
from foxtailhatch.cli.entries import discover_entries, fetch_status
from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.cli.options import entry_option, key_option


@click.command()
@entry_option
@key_option
@click.option(
    '--document',
    'only_document',
    is_flag=True,
    help='Write only the document, in the format that publish reads.',
)
def show(entry: str, key: str, only_document: bool) -> None:
    """Show the version in force at each entry, and the document.

    \b
    Example:
      foxtailhatch show --entry 10.20.1.11:8080
    """
    in_force = fetch_configuration(entry, key)
    if in_force is None:
        exit_with_error('No configuration is in force yet.', ExitCode.REFUSED)
    if not only_document:
        _show_versions(entry)
    click.echo(json.dumps(in_force.document, indent=2))


def _show_versions(entry: str) -> None:
    for address in discover_entries((entry,)):
        status = fetch_status(address)
        if status is None:
            click.echo(f'{address} does not answer')
        else:
            version = status.configuration_version
            click.echo(f'{address} {status.instance} version {version}')
