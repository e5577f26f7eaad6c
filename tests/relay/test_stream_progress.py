"""Streams in progress as witnesses for the endpoints they cross."""

from types import SimpleNamespace

import pytest

from foxtailhatch.relay.stream_progress import FRESH_S, has_recent_progress


def stream(last_progress_at, started=True, names=('e1',)):
    attempt = SimpleNamespace(uses=lambda name: name in names)
    return SimpleNamespace(
        attempt=attempt,
        is_started=started,
        last_progress_at=last_progress_at,
    )


def test_endpoint_that_an_event_has_just_come_through_works():
    assert has_recent_progress([stream(10.0)], 'e1', 10.0 + FRESH_S / 2)


@pytest.mark.parametrize(
    'other',
    [
        stream(10.0 - 2 * FRESH_S),
        stream(10.0, started=False),
        stream(10.0, names=('e2',)),
        SimpleNamespace(attempt=None, is_started=True, last_progress_at=10.0),
    ],
)
def test_nothing_else_shows_that_it_works(other):
    assert not has_recent_progress([other], 'e1', 10.0)
