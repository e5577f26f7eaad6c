"""The ``check`` subcommand, which validates a file."""

import json
from collections.abc import Sequence
from pathlib import Path

import click

from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.config import parse_configuration
from foxtailhatch.core.json_faults import ROOT_PATH, JsonFault
from foxtailhatch.daemon.settings import Settings, parse_settings

SETTINGS = 'settings'
CONFIGURATION = 'configuration'


@click.command()
@click.argument('path', metavar='FILE', type=click.Path(path_type=Path))
@click.option(
    '--as',
    'kind',
    type=click.Choice((SETTINGS, CONFIGURATION)),
    help='The kind of FILE; detected from its fields by default.',
)
def check(path: Path, kind: str | None) -> None:
    """Report every fault of a settings file or a configuration.

    Each fault is one line: the JSON path of the value and a message.

    \b
    Example:
      foxtailhatch check examples/kalahari/configuration.json
    """
    try:
        raw = path.read_bytes()
    except OSError as exc:
        exit_with_error(f'{path}: {exc.strerror}', ExitCode.INVALID_INPUT)
    kind = kind or detect_kind(raw)
    faults = find_faults(kind, raw)
    if faults:
        exit_with_error(
            '\n'.join(str(fault) for fault in faults), ExitCode.INVALID_INPUT
        )
    click.echo(f'{path}: valid {kind}')


def detect_kind(raw: bytes) -> str:
    """Return the kind of a document, detected from its fields.

    >>> detect_kind(b'{"instance": "entry-1"}'), detect_kind(b'{"models": []}')
    ('settings', 'configuration')
    """
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError):
        return CONFIGURATION
    if isinstance(document, dict) and document.keys() & Settings.model_fields:
        return SETTINGS
    return CONFIGURATION


def find_faults(kind: str, raw: bytes) -> Sequence[JsonFault]:
    """Return all faults of a document of the given kind."""
    if kind == SETTINGS:
        return parse_settings(raw).swap().value_or(())
    return configuration_faults(raw)


def configuration_faults(raw: bytes) -> Sequence[JsonFault]:
    """Return all faults of a configuration, with paths from the root."""
    faults = parse_configuration(raw).swap().value_or(())
    return tuple(
        JsonFault(_from_root(fault.path), fault.message) for fault in faults
    )


def _from_root(path: str) -> str:
    return path if path.startswith(ROOT_PATH) else f'{ROOT_PATH}.{path}'
