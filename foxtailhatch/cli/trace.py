"""Conversion of events to the Chrome trace-event format."""

from collections.abc import Iterable, Sequence
from typing import Any

from foxtailhatch.core import Event, EventKind

MICROSECONDS_PER_S = 1_000_000
REQUEST_END_KINDS = frozenset(
    (
        EventKind.REQUEST_FINISHED,
        EventKind.REQUEST_CANCELLED,
    )
)

TraceEvent = dict[str, Any]


def chrome_trace(events: Sequence[Event]) -> dict[str, list[TraceEvent]]:
    """Return a trace with a process per instance and a span per request.

    Every event is an instant of its instance; ``ts`` and ``dur`` are in
    microseconds.
    """
    pids = _number_processes(event.stamp.instance for event in events)
    process_names = [_process_name(name, pid) for name, pid in pids.items()]
    instants = [_instant(event, pids) for event in events]
    return {'traceEvents': [*process_names, *instants, *_spans(events, pids)]}


def _number_processes(names: Iterable[str]) -> dict[str, int]:
    return {name: pid for pid, name in enumerate(sorted(set(names)), 1)}


def _process_name(name: str, pid: int) -> TraceEvent:
    return {
        'ph': 'M',
        'name': 'process_name',
        'pid': pid,
        'args': {'name': name},
    }


def _instant(event: Event, pids: dict[str, int]) -> TraceEvent:
    return {
        'ph': 'i',
        's': 'p',
        'name': event.kind.value,
        'ts': event.stamp.wall * MICROSECONDS_PER_S,
        'pid': pids[event.stamp.instance],
        'tid': 0,
        'args': {'subject': event.subject, 'detail': event.detail},
    }


def _spans(
    events: Sequence[Event],
    pids: dict[str, int],
) -> list[TraceEvent]:
    open_requests: dict[tuple[str, str], Event] = {}
    spans = []
    for event in events:
        key = (event.stamp.instance, event.subject)
        if event.kind is EventKind.REQUEST_ADMITTED:
            open_requests[key] = event
        elif event.kind in REQUEST_END_KINDS and key in open_requests:
            spans.append(_span(open_requests.pop(key), event, pids))
    return spans


def _span(first: Event, last: Event, pids: dict[str, int]) -> TraceEvent:
    duration_s = last.stamp.wall - first.stamp.wall
    start: TraceEvent = _instant(first, pids)
    return {
        **start,
        'ph': 'X',
        'name': first.subject,
        'dur': duration_s * MICROSECONDS_PER_S,
        'args': {'ended': last.kind.value, 'detail': last.detail},
    }
