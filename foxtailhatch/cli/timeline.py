"""The subcommand that joins the time lines of all entries."""

import json
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from operator import attrgetter
from pathlib import Path
from urllib.parse import quote

import click
from returns.result import Failure, Success

from foxtailhatch.cli.client import Answer, Call, make_call
from foxtailhatch.cli.entries import all_entries
from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.cli.options import entries_option, together
from foxtailhatch.cli.trace import chrome_trace
from foxtailhatch.core import Event
from foxtailhatch.core.timeline_json import events_from_json


@click.command()
@entries_option
@together(
    click.option('--subject', default='', help='A request or an endpoint.'),
    click.option('--since', type=float, help='Earliest wall time in seconds.'),
    click.option('--until', type=float, help='Latest wall time in seconds.'),
)
@click.option(
    '--trace',
    type=click.Path(path_type=Path),
    help='Write Chrome trace-event JSON to this file too.',
)
def timeline(
    known: tuple[str, ...],
    subject: str,
    since: float | None,
    until: float | None,
    trace: Path | None,
) -> None:
    """Print the events of all entries in one order.

    \b
    Example:
      foxtailhatch timeline --entry 10.20.1.11:8080 --trace events.json
    """
    gathered = [_gather(address, subject) for address in all_entries(known)]
    if not any(part is not None for part in gathered):
        leave('No entry answered.', Exit.UNREACHABLE)
    parts = [part for part in gathered if part is not None]
    events = merged(parts, since, until)
    for event in events:
        click.echo(event_line(event))
    if trace is not None:
        trace.write_text(json.dumps(chrome_trace(events)))


def merged(
    parts: Iterable[Iterable[Event]],
    since: float | None,
    until: float | None,
) -> list[Event]:
    """Return the events of all parts within a span, by their stamps."""
    events = [
        event
        for part in parts
        for event in part
        if _within(event.stamp.wall, since, until)
    ]
    return sorted(events, key=attrgetter('stamp'))


def event_line(event: Event) -> str:
    """Return one line that shows an event; times are in UTC."""
    moment = datetime.fromtimestamp(event.stamp.wall, UTC)
    shown = moment.isoformat(timespec='microseconds')
    words = (
        shown,
        str(event.stamp.count),
        event.stamp.instance,
        event.kind.value,
        event.subject,
        event.detail,
    )
    return ' '.join(words).rstrip()


def _gather(address: str, subject: str) -> Sequence[Event] | None:
    query = f'?subject={quote(subject)}' if subject else ''
    match make_call(address, Call('GET', f'/timeline{query}')):
        case Success(answer):
            return _events(address, answer)
        case Failure(unreachable):
            click.echo(f'skipped: {unreachable}', err=True)
    return None


def _events(address: str, answer: Answer) -> Sequence[Event] | None:
    match events_from_json(answer.body):
        case Success(events):
            return tuple(events)
        case Failure(message):
            click.echo(f'skipped: {address}: {message}', err=True)
    return None


def _within(wall: float, since: float | None, until: float | None) -> bool:
    is_late_enough = since is None or since <= wall
    return is_late_enough and (until is None or wall <= until)
