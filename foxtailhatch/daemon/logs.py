"""Structured logging: one JSON object per state change."""

import json
import logging
from typing import Any, TextIO, cast

from twisted.logger import STDLibLogObserver, globalLogBeginner

from foxtailhatch.core import Event, EventKind, Timeline

LOGGER_NAME = 'foxtailhatch'
STATE_CHANGES = frozenset(
    (
        EventKind.STARTED,
        EventKind.STOP_REQUESTED,
        EventKind.STOPPED,
        EventKind.REQUEST_CUT,
        EventKind.OUTCOMES_UNSENT,
        EventKind.CONFIGURATION_IN_FORCE,
        EventKind.PUBLICATION_REFUSED,
        EventKind.LOG_UNAVAILABLE,
        EventKind.LOG_AVAILABLE,
        EventKind.LEASE_ACQUIRED,
        EventKind.LEASE_LOST,
        EventKind.MARK_CHANGED,
        EventKind.MEMBER_CHANGED,
        EventKind.ENDPOINT_EJECTED,
        EventKind.ENDPOINT_RESTORED,
        EventKind.SESSION_OPENED,
        EventKind.SESSION_LOST,
        EventKind.INVARIANT_BROKEN,
    )
)


class JsonFormatter(logging.Formatter):
    """Format each record as one JSON object on one line.

    >>> record = logging.makeLogRecord({'msg': 'up', 'created': 2.5})
    >>> JsonFormatter().format(record)
    '{"time": 2.5, "level": "Level None", "logger": null, "message": "up"}'
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON object without a line break."""
        line: dict[str, object] = {
            'time': record.created,
            'level': record.levelname,
            'logger': record.name,
        }
        event = getattr(record, 'event', None)
        if isinstance(event, Event):
            line.update(_event_fields(event))
        else:
            line['message'] = record.getMessage()
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line)


class EventLog:
    """Record events on the timeline and log those that change a state."""

    def __init__(self, timeline: Timeline) -> None:
        """Record on ``timeline`` and log to the ``foxtailhatch`` logger."""
        self._timeline = timeline
        self._logger = logging.getLogger(LOGGER_NAME)

    def record(
        self,
        now: float,
        kind: EventKind,
        subject: str,
        detail: str = '',
    ) -> Event:
        """Record one event at wall time ``now`` in seconds and return it."""
        event = self._timeline.record(now, kind, subject, detail)
        if kind in STATE_CHANGES:
            level = _level(kind)
            self._logger.log(level, kind.value, extra={'event': event})
        return event


def configure_logging(stream: TextIO, level: int = logging.INFO) -> None:
    """Write all log records as JSON lines to ``stream``.

    Records of Twisted are included from level WARNING on, because at lower
    levels it logs every connection.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger('twisted').setLevel(logging.WARNING)
    observer = cast(Any, STDLibLogObserver(name='twisted'))
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)


def _level(kind: EventKind) -> int:
    if kind is EventKind.INVARIANT_BROKEN:
        return logging.CRITICAL
    return logging.INFO


def _event_fields(event: Event) -> dict[str, object]:
    return {
        'event': event.kind.value,
        'subject': event.subject,
        'detail': event.detail,
        'stamp': [event.stamp.wall, event.stamp.count, event.stamp.instance],
    }
