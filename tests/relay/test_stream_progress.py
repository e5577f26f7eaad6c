"""Recent progress of streams as evidence that their endpoints are alive."""

from types import SimpleNamespace

import pytest

from foxtailhatch.relay.stream_progress import (
    RECENT_PROGRESS_S,
    has_recent_progress,
)


def stream(last_progress_at, started=True, names=('e1',)):
    attempt = SimpleNamespace(uses=lambda name: name in names)
    return SimpleNamespace(
        attempt=attempt,
        is_started=started,
        last_progress_at=last_progress_at,
    )


def test_endpoint_of_a_stream_with_a_recent_event_has_progress():
    assert has_recent_progress(
        [stream(10.0)], 'e1', 10.0 + RECENT_PROGRESS_S / 2
    )


@pytest.mark.parametrize(
    'other',
    [
        stream(10.0 - 2 * RECENT_PROGRESS_S),
        stream(10.0, started=False),
        stream(10.0, names=('e2',)),
        SimpleNamespace(attempt=None, is_started=True, last_progress_at=10.0),
    ],
)
def test_other_streams_are_no_evidence_of_progress(other):
    assert not has_recent_progress([other], 'e1', 10.0)
