"""JSON encoding of timeline events, as entries serve them."""

from collections.abc import Iterable
from typing import Any

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.core.hybrid_clock import HybridTimestamp
from foxtailhatch.core.timeline import Event, EventKind


class EventDocument(BaseModel):
    """An event; ``stamp`` holds wall time, counter and instance name."""

    model_config = ConfigDict(allow_inf_nan=False)

    stamp: tuple[float, int, str]
    event: EventKind
    subject: str
    detail: str = ''


_EVENTS = TypeAdapter(list[EventDocument])


def events_to_json(events: Iterable[Event]) -> list[dict[str, Any]]:
    """Return ``events`` as JSON-compatible values.

    >>> event = Event(HybridTimestamp(5.0, 0, 'entry-1'), EventKind.STARTED, 'entry-1')
    >>> events_to_json([event])[0]['stamp']
    [5.0, 0, 'entry-1']
    """
    return [
        {
            'stamp': [
                event.stamp.wall,
                event.stamp.count,
                event.stamp.instance,
            ],
            'event': event.kind.value,
            'subject': event.subject,
            'detail': event.detail,
        }
        for event in events
    ]


def events_from_json(raw: bytes) -> Result[list[Event], str]:
    """Return the events in a JSON document, or an error message."""
    try:
        documents = _EVENTS.validate_json(raw)
    except ValidationError as exc:
        return Failure(
            f'malformed timeline: {exc.error_count()} validation errors'
        )
    return Success(
        [
            Event(
                HybridTimestamp(*each.stamp),
                each.event,
                each.subject,
                each.detail,
            )
            for each in documents
        ]
    )
