"""Events in Chrome's trace-event format, which trace viewers open."""

from collections.abc import Iterable, Sequence
from typing import Any

from foxtailhatch.core import Event, EventKind

MICROSECONDS = 1_000_000
ENDS_OF_REQUESTS = frozenset(
    (
        EventKind.REQUEST_FINISHED,
        EventKind.REQUEST_CANCELLED,
    )
)

TraceEvent = dict[str, Any]


def chrome_trace(events: Sequence[Event]) -> dict[str, list[TraceEvent]]:
    """Return a trace: one process an instance, one span a request.

    Events that are no span are instants of their instance; ``ts`` and ``dur``
    are in microseconds.
    """
    numbers = _numbers(event.stamp.instance for event in events)
    named = [_process_name(name, pid) for name, pid in numbers.items()]
    instants = [_instant(event, numbers) for event in events]
    return {'traceEvents': [*named, *instants, *_spans(events, numbers)]}


def _numbers(names: Iterable[str]) -> dict[str, int]:
    return {name: pid for pid, name in enumerate(sorted(set(names)), 1)}


def _process_name(name: str, pid: int) -> TraceEvent:
    return {
        'ph': 'M',
        'name': 'process_name',
        'pid': pid,
        'args': {'name': name},
    }


def _instant(event: Event, numbers: dict[str, int]) -> TraceEvent:
    return {
        'ph': 'i',
        's': 'p',
        'name': event.kind.value,
        'ts': event.stamp.wall * MICROSECONDS,
        'pid': numbers[event.stamp.instance],
        'tid': 0,
        'args': {'subject': event.subject, 'detail': event.detail},
    }


def _spans(
    events: Sequence[Event],
    numbers: dict[str, int],
) -> list[TraceEvent]:
    begun: dict[tuple[str, str], Event] = {}
    spans = []
    for event in events:
        about = (event.stamp.instance, event.subject)
        if event.kind is EventKind.REQUEST_ADMITTED:
            begun[about] = event
        elif event.kind in ENDS_OF_REQUESTS and about in begun:
            spans.append(_span(begun.pop(about), event, numbers))
    return spans


def _span(first: Event, last: Event, numbers: dict[str, int]) -> TraceEvent:
    lasted = last.stamp.wall - first.stamp.wall
    start: TraceEvent = _instant(first, numbers)
    return {
        **start,
        'ph': 'X',
        'name': first.subject,
        'dur': lasted * MICROSECONDS,
        'args': {'ended': last.kind.value, 'detail': last.detail},
    }
