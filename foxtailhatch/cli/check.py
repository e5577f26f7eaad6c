"""The subcommand that checks a file and starts nothing."""

import json
from collections.abc import Sequence
from pathlib import Path

import click

from foxtailhatch.cli.exits import Exit, leave
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
    help='What FILE holds; without this it is told by its fields.',
)
def check(path: Path, kind: str | None) -> None:
    """Name every fault of a settings file or a configuration.

    Each fault is one line: the JSON path of the value and what is wrong.

    \b
    Example:
      foxtailhatch check examples/kalahari/configuration.json
    """
    try:
        raw = path.read_bytes()
    except OSError as exc:
        leave(f'{path}: {exc.strerror}', Exit.FAULTY)
    kind = kind or kind_of(raw)
    faults = faults_of(kind, raw)
    if faults:
        leave('\n'.join(str(fault) for fault in faults), Exit.FAULTY)
    click.echo(f'{path}: valid {kind}')


def kind_of(raw: bytes) -> str:
    """Tell what a document is meant to be by the fields it has.

    >>> kind_of(b'{"instance": "entry-1"}'), kind_of(b'{"models": []}')
    ('settings', 'configuration')
    """
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError):
        return CONFIGURATION
    if isinstance(document, dict) and document.keys() & Settings.model_fields:
        return SETTINGS
    return CONFIGURATION


def faults_of(kind: str, raw: bytes) -> Sequence[JsonFault]:
    """Return all faults of a document of one kind."""
    if kind == SETTINGS:
        return parse_settings(raw).swap().value_or(())
    return configuration_faults(raw)


def configuration_faults(raw: bytes) -> Sequence[JsonFault]:
    """Return all faults of a configuration."""
    faults = parse_configuration(raw).swap().value_or(())
    return tuple(
        JsonFault(_from_root(fault.path), fault.message) for fault in faults
    )


def _from_root(path: str) -> str:
    return path if path.startswith(ROOT_PATH) else f'{ROOT_PATH}.{path}'
