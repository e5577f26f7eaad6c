"""Options that several subcommands share."""

from collections.abc import Callable

import click

Command = Callable[..., None]
Option = Callable[[Command], Command]


def together(*options: Option) -> Option:
    """Return one decorator that adds several options, in order."""

    def decorate(command: Command) -> Command:  # noqa: WPS430
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


entry_option = click.option(
    '--entry',
    required=True,
    metavar='HOST:PORT',
    help='An entry to ask.',
)
entries_option = click.option(
    '--entry',
    'known',
    required=True,
    multiple=True,
    metavar='HOST:PORT',
    help='An entry to ask, as those that it advises; may be repeated.',
)
key_option = click.option(
    '--key',
    envvar='FOXTAILHATCH_OPERATOR_KEY',
    required=True,
    help='The operator key; better given by FOXTAILHATCH_OPERATOR_KEY.',
)
