import io
import json
import logging

import pytest

from foxtailhatch.core import EventKind, HybridClock, Timeline
from foxtailhatch.daemon.logs import LOGGER_NAME, EventLog, JsonFormatter


@pytest.fixture
def lines():
    """Return the stream that the program's logger writes to."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield stream
    logger.removeHandler(handler)
    logger.setLevel(logging.NOTSET)


def test_a_change_of_state_is_one_json_line(lines):
    timeline = Timeline(HybridClock('entry-1'))
    log = EventLog(timeline)
    log.record(5.0, EventKind.LOG_UNAVAILABLE, 'log', 'refused')
    line = json.loads(lines.getvalue())
    assert (line['event'], line['subject']) == ('log_unavailable', 'log')
    assert line['stamp'] == [5.0, 0, 'entry-1']


def test_an_event_of_a_request_is_kept_but_not_written(lines):
    timeline = Timeline(HybridClock('entry-1'))
    EventLog(timeline).record(5.0, EventKind.REQUEST_ADMITTED, 'req-1')
    assert len(timeline.events('req-1')) == 1
    assert not lines.getvalue()
