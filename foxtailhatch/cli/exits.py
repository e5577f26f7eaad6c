"""How the command line ends."""

import sys
from enum import IntEnum
from typing import NoReturn

import click


class Exit(IntEnum):
    """The exit codes; click itself uses 2 for wrong arguments."""

    DONE = 0
    REFUSED = 1
    FAULTY = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_IN_TIME = 5


def leave(message: str, code: Exit) -> NoReturn:
    """Write ``message`` to the error stream and exit."""
    click.echo(message, err=True)
    sys.exit(code)
