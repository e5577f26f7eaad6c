"""The ``publish`` subcommand, which publishes a configuration."""

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from uuid import uuid4

import click
from returns.result import Failure, Success

from foxtailhatch.cli.check import configuration_faults
from foxtailhatch.cli.client import (
    EntryRequest,
    EntryResponse,
    bearer_header,
    send_request,
)
from foxtailhatch.cli.configuration_in_force import fetch_version
from foxtailhatch.cli.entries import EntryStatus, discover_entries, fetch_status
from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.cli.options import combine_options, entry_option, key_option

HTTP_CONFLICT = 409
PUBLISH_TIMEOUT_S = 40.0
MAX_ATTEMPTS = 3
DEFAULT_WAIT_S = 18.0
POLL_INTERVAL_S = 0.2


@click.command()
@click.argument('path', metavar='FILE', type=click.Path(path_type=Path))
@combine_options(entry_option, key_option)
@click.option(
    '--made-from',
    type=int,
    help='The version that FILE was edited from. The default is the version '
    'in force, which overwrites changes published in the meantime.',
)
@combine_options(
    click.option(
        '--wait',
        is_flag=True,
        help='Wait until the version is in force at all entries.',
    ),
    click.option(
        '--wait-s',
        default=DEFAULT_WAIT_S,
        show_default=True,
        help='The maximum time to wait, in seconds.',
    ),
)
def publish(
    path: Path,
    entry: str,
    key: str,
    made_from: int | None,
    wait: bool,
    wait_s: float,
) -> None:
    """Publish FILE as the next configuration.

    \b
    Example:
      foxtailhatch publish draft.json --entry 10.20.1.11:8080 --made-from 12
    """
    document = _read_valid_document(path)
    if made_from is None:
        made_from = fetch_version(entry, key)
    version = _publish_document(entry, key, document, made_from)
    click.echo(f'version {version} is accepted')
    if wait:
        _wait_until_in_force(entry, version, wait_s)


def _read_valid_document(path: Path) -> bytes:
    try:
        document = path.read_bytes()
    except OSError as exc:
        exit_with_error(f'{path}: {exc.strerror}', ExitCode.INVALID_INPUT)
    faults = configuration_faults(document)
    if faults:
        exit_with_error(
            '\n'.join(str(fault) for fault in faults), ExitCode.INVALID_INPUT
        )
    return document


def _publish_document(
    entry: str, key: str, document: bytes, made_from: int
) -> int:
    """Publish a document and return the accepted version.

    Retries after a lost response send the same publication id.
    """
    headers = {**bearer_header(key), 'Idempotency-Key': uuid4().hex}
    path = f'/admin/publish?made_from={made_from}'
    request = EntryRequest('POST', path, document, headers)
    last_error = ''
    for _ in range(MAX_ATTEMPTS):
        match send_request(entry, request, PUBLISH_TIMEOUT_S):
            case Success(response):
                return _accepted_version(response)
            case Failure(unreachable):
                last_error = str(unreachable)
    exit_with_error(
        f'{last_error}; the document may have been published',
        ExitCode.UNREACHABLE,
    )


def _accepted_version(response: EntryResponse) -> int:
    document = response.json_document()
    if response.is_ok() and isinstance(document, dict):
        return int(document['version'])
    error = response.error()
    details = error.model_extra or {}
    lines = [error.message]
    lines.extend(
        f'{fault["path"]}: {fault["message"]}'
        for fault in details.get('faults', ())
    )
    lines.extend(str(line) for line in details.get('differences', ()))
    code = (
        ExitCode.CONFLICT
        if response.status == HTTP_CONFLICT
        else ExitCode.REFUSED
    )
    exit_with_error('\n'.join(lines), code)


def _wait_until_in_force(entry: str, version: int, wait_s: float) -> None:
    deadline = time.monotonic() + wait_s
    entries = discover_entries((entry,))
    pending = entries_without_version(entries, version, fetch_status)
    while pending and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        pending = entries_without_version(pending, version, fetch_status)
    if pending:
        addresses = ', '.join(pending)
        message = f'version {version} is not in force at {addresses}'
        exit_with_error(message, ExitCode.TIMEOUT)
    click.echo(f'version {version} is in force at {len(entries)} entries')


def entries_without_version(
    entries: Iterable[str],
    version: int,
    get_status: Callable[[str], EntryStatus | None],
) -> tuple[str, ...]:
    """Return the entries that do not report ``version`` or a later one."""
    return tuple(
        address
        for address in entries
        if not _has_version(get_status(address), version)
    )


def _has_version(status: EntryStatus | None, version: int) -> bool:
    return status is not None and status.configuration_version >= version
