"""The subcommand that joins the time lines of all entries."""

import json
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from itertools import chain
from operator import attrgetter
from pathlib import Path

import click
from returns.result import Failure, Success

from foxtailhatch.cli.client import Answer, Call, make_call
from foxtailhatch.cli.entries import all_entries
from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.cli.options import entries_option, together
from foxtailhatch.cli.trace import chrome_trace
from foxtailhatch.core import Event
from foxtailhatch.core.timeline_json import events_from_json

# Chains are written as names with > between them.
WORD = re.compile(r'[^\s>:,]+')


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
    gathered = [_gather(address) for address in all_entries(known)]
    if not any(part is not None for part in gathered):
        leave('No entry answered.', Exit.UNREACHABLE)
    parts = [part for part in gathered if part is not None]
    events = merged(parts, Wanted(subject, since, until))
    for event in events:
        click.echo(event_line(event))
    if trace is not None:
        trace.write_text(json.dumps(chrome_trace(events)))


@dataclass(frozen=True, slots=True)
class Wanted:
    """Which events to show; an empty or absent part wants all.

    An event is about ``subject`` if that is its own subject or a word of its
    detail, such as an endpoint of a chain.
    """

    subject: str = ''
    since: float | None = None
    until: float | None = None

    def takes(self, event: Event) -> bool:
        """Tell whether to show ``event``."""
        wall = event.stamp.wall
        is_late_enough = self.since is None or self.since <= wall
        is_early_enough = self.until is None or wall <= self.until
        return is_late_enough and is_early_enough and self._is_about(event)

    def _is_about(self, event: Event) -> bool:
        if self.subject in {'', event.subject}:
            return True
        return self.subject in WORD.findall(f'{event.subject} {event.detail}')


def merged(parts: Iterable[Iterable[Event]], wanted: Wanted) -> list[Event]:
    """Return the wanted events of all parts, by their stamps."""
    events = [event for event in chain(*parts) if wanted.takes(event)]
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


def _gather(address: str) -> Sequence[Event] | None:
    match make_call(address, Call('GET', '/timeline')):
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
