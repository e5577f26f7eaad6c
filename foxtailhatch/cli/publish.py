"""The subcommand that publishes a configuration."""

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from uuid import uuid4

import click
from returns.result import Failure, Success

from foxtailhatch.cli.check import configuration_faults
from foxtailhatch.cli.client import Answer, Call, bearer, make_call
from foxtailhatch.cli.entries import Status, all_entries, status_of
from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.cli.in_force import version_in_force
from foxtailhatch.cli.options import entry_option, key_option, together

CONFLICT = 409
PUBLISH_TIMEOUT_S = 40.0
TRIES = 3
WAIT_S = 18.0
POLL_S = 0.2


@click.command()
@click.argument('path', metavar='FILE', type=click.Path(path_type=Path))
@together(entry_option, key_option)
@click.option(
    '--made-from',
    type=int,
    help='The version that FILE was edited from; the one now in force if '
    'not given, which overwrites what others published meanwhile.',
)
@together(
    click.option('--wait', is_flag=True, help='Wait until it is in force.'),
    click.option(
        '--wait-s',
        default=WAIT_S,
        show_default=True,
        help='How many seconds to wait at most.',
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
    document = _checked(path)
    if made_from is None:
        made_from = version_in_force(entry, key)
    version = _published(entry, key, document, made_from)
    click.echo(f'version {version} is accepted')
    if wait:
        _wait(entry, version, wait_s)


def _checked(path: Path) -> bytes:
    try:
        document = path.read_bytes()
    except OSError as exc:
        leave(f'{path}: {exc.strerror}', Exit.FAULTY)
    faults = configuration_faults(document)
    if faults:
        leave('\n'.join(str(fault) for fault in faults), Exit.FAULTY)
    return document


def _published(entry: str, key: str, document: bytes, made_from: int) -> int:
    """Publish, again after a lost answer, under one publication id."""
    headers = {**bearer(key), 'Idempotency-Key': uuid4().hex}
    path = f'/admin/publish?made_from={made_from}'
    call = Call('POST', path, document, headers)
    heard = ''
    for _ in range(TRIES):
        match make_call(entry, call, PUBLISH_TIMEOUT_S):
            case Success(answer):
                return _version(answer)
            case Failure(unreachable):
                heard = str(unreachable)
    leave(f'{heard}; it may have been published', Exit.UNREACHABLE)


def _version(answer: Answer) -> int:
    document = answer.document()
    if answer.is_ok() and isinstance(document, dict):
        return int(document['version'])
    error = answer.error()
    details = error.model_extra or {}
    lines = [error.message]
    lines.extend(
        f'{fault["path"]}: {fault["message"]}'
        for fault in details.get('faults', ())
    )
    lines.extend(str(line) for line in details.get('differences', ()))
    code = Exit.CONFLICT if answer.status == CONFLICT else Exit.REFUSED
    leave('\n'.join(lines), code)


def _wait(entry: str, version: int, wait_s: float) -> None:
    deadline = time.monotonic() + wait_s
    entries = all_entries((entry,))
    late = behind(entries, version, status_of)
    while late and time.monotonic() < deadline:
        time.sleep(POLL_S)
        late = behind(late, version, status_of)
    if late:
        shown = ', '.join(late)
        message = f'version {version} is not in force at {shown}'
        leave(message, Exit.NOT_IN_TIME)
    click.echo(f'version {version} is in force at {len(entries)} entries')


def behind(
    entries: Iterable[str],
    version: int,
    ask: Callable[[str], Status | None],
) -> tuple[str, ...]:
    """Return the entries at which ``version`` is not known to be in force."""
    return tuple(
        address for address in entries if not _has(ask(address), version)
    )


def _has(status: Status | None, version: int) -> bool:
    return status is not None and status.configuration_version >= version
