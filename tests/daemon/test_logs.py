import io
import json
import logging

import pytest

from foxtailhatch.core import EventKind, HybridClock, Timeline
from foxtailhatch.daemon.logs import LOGGER_NAME, EventLog, JsonFormatter


@pytest.fixture
def lines():
    """Yield the stream that the ``foxtailhatch`` logger writes to."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield stream
    logger.removeHandler(handler)
    logger.setLevel(logging.NOTSET)


def test_state_change_is_logged_as_one_json_line(lines):
    timeline = Timeline(HybridClock('entry-1'))
    log = EventLog(timeline)
    log.record(5.0, EventKind.LOG_UNAVAILABLE, 'log', 'refused')
    line = json.loads(lines.getvalue())
    assert (line['event'], line['subject']) == ('log_unavailable', 'log')
    assert line['stamp'] == [5.0, 0, 'entry-1']


def test_request_event_is_recorded_but_not_logged(lines):
    timeline = Timeline(HybridClock('entry-1'))
    EventLog(timeline).record(5.0, EventKind.REQUEST_ADMITTED, 'req-1')
    assert len(timeline.events('req-1')) == 1
    assert not lines.getvalue()
