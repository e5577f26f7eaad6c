"""Options that several subcommands share."""

from collections.abc import Callable

import click

Command = Callable[..., None]
Option = Callable[[Command], Command]


def combine_options(*options: Option) -> Option:
    """Return a decorator that adds several options, in order."""

    def decorate(command: Command) -> Command:  # noqa: WPS430
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


entry_option = click.option(
    '--entry',
    required=True,
    metavar='HOST:PORT',
    help='The entry to send requests to.',
)
entries_option = click.option(
    '--entry',
    'known',
    required=True,
    multiple=True,
    metavar='HOST:PORT',
    help='An entry to use, besides those that it lists; may be repeated.',
)
key_option = click.option(
    '--key',
    envvar='FOXTAILHATCH_OPERATOR_KEY',
    required=True,
    help='The operator key; preferably set FOXTAILHATCH_OPERATOR_KEY instead.',
)
