"""The ``timeline`` subcommand, which merges the events of all entries."""

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

from foxtailhatch.cli.client import EntryRequest, EntryResponse, send_request
from foxtailhatch.cli.entries import discover_entries
from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.cli.options import combine_options, entries_option
from foxtailhatch.cli.trace import chrome_trace
from foxtailhatch.core import Event
from foxtailhatch.core.timeline_json import events_from_json

# Event details write a chain as endpoint names separated by ">".
NAME_PATTERN = re.compile(r'[^\s>:,]+')


@click.command()
@entries_option
@combine_options(
    click.option(
        '--subject', default='', help='Show only this request or endpoint.'
    ),
    click.option('--since', type=float, help='Earliest wall time in seconds.'),
    click.option('--until', type=float, help='Latest wall time in seconds.'),
)
@click.option(
    '--trace',
    type=click.Path(path_type=Path),
    help='Also write Chrome trace-event JSON to this file.',
)
def timeline(
    known: tuple[str, ...],
    subject: str,
    since: float | None,
    until: float | None,
    trace: Path | None,
) -> None:
    """Print the events of all entries in the order of their timestamps.

    \b
    Example:
      foxtailhatch timeline --entry 10.20.1.11:8080 --trace events.json
    """
    fetched = [_fetch_events(address) for address in discover_entries(known)]
    if not any(part is not None for part in fetched):
        exit_with_error('No entry answered.', ExitCode.UNREACHABLE)
    parts = [part for part in fetched if part is not None]
    events = merge_events(parts, EventFilter(subject, since, until))
    for event in events:
        click.echo(format_event(event))
    if trace is not None:
        trace.write_text(json.dumps(chrome_trace(events)))


@dataclass(frozen=True, slots=True)
class EventFilter:
    """A filter of events; an empty or absent field matches all events.

    ``subject`` matches the subject of an event or a name in its detail, such
    as an endpoint of a chain.
    """

    subject: str = ''
    since: float | None = None
    until: float | None = None

    def matches(self, event: Event) -> bool:
        """Return whether ``event`` passes the filter."""
        wall = event.stamp.wall
        is_after_since = self.since is None or self.since <= wall
        is_before_until = self.until is None or wall <= self.until
        return (
            is_after_since and is_before_until and self._concerns_subject(event)
        )

    def _concerns_subject(self, event: Event) -> bool:
        if self.subject in {'', event.subject}:
            return True
        return self.subject in NAME_PATTERN.findall(
            f'{event.subject} {event.detail}'
        )


def merge_events(
    parts: Iterable[Iterable[Event]], event_filter: EventFilter
) -> list[Event]:
    """Return the matching events of all parts, sorted by timestamp."""
    events = [event for event in chain(*parts) if event_filter.matches(event)]
    return sorted(events, key=attrgetter('stamp'))


def format_event(event: Event) -> str:
    """Return an event as one line of text; times are in UTC."""
    moment = datetime.fromtimestamp(event.stamp.wall, UTC)
    timestamp = moment.isoformat(timespec='microseconds')
    parts = (
        timestamp,
        str(event.stamp.count),
        event.stamp.instance,
        event.kind.value,
        event.subject,
        event.detail,
    )
    return ' '.join(parts).rstrip()


def _fetch_events(address: str) -> Sequence[Event] | None:
    match send_request(address, EntryRequest('GET', '/timeline')):
        case Success(response):
            return _parse_events(address, response)
        case Failure(unreachable):
            click.echo(f'skipped: {unreachable}', err=True)
    return None


def _parse_events(
    address: str, response: EntryResponse
) -> Sequence[Event] | None:
    match events_from_json(response.body):
        case Success(events):
            return tuple(events)
        case Failure(message):
            click.echo(f'skipped: {address}: {message}', err=True)
    return None
