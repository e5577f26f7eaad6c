"""Exit codes of the command line."""

import sys
from enum import IntEnum
from typing import NoReturn

import click


class ExitCode(IntEnum):
    """Exit codes; click itself uses 2 for invalid arguments."""

    SUCCESS = 0
    REFUSED = 1
    INVALID_INPUT = 2
    UNREACHABLE = 3
    CONFLICT = 4
    TIMEOUT = 5


def exit_with_error(message: str, code: ExitCode) -> NoReturn:
    """Write ``message`` to standard error and exit with ``code``."""
    click.echo(message, err=True)
    sys.exit(code)
