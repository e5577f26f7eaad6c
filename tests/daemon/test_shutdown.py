import asyncio
from types import SimpleNamespace

import pytest

from foxtailhatch.callers.connections import CallerConnections
from foxtailhatch.core import ErrorCode, EventKind
from foxtailhatch.daemon.shutdown import ShutdownController
from foxtailhatch.membership import PlannedStop


class FakeChannel:
    """A connection with an answer or request that is not yet complete."""

    def __init__(self, connections):
        self.connections = connections
        self.waiting = 1
        self.incomplete = False
        self.refusals = []
        self.cuts = []
        connections.add(self)

    def pending(self):
        return self.waiting

    def receiving(self):
        return self.incomplete

    def refuse(self, refusal):
        self.refusals.append(refusal)
        self.incomplete = False

    def close_idle(self):
        if not self.waiting:
            self.connections.discard(self)

    def cut(self, cause):
        self.cuts.append(cause)
        return self.waiting


class StoppingEntry:
    """A requested shutdown, stepped at times that the test sets."""

    def __init__(self, **limit):
        self.now = 5.0
        self.done = []
        self.events = []
        self.running = 0
        self.connections = CallerConnections(None)
        self.connections.listen_with(lambda: self.done.append('deaf'))
        self.board = SimpleNamespace(
            name='entry-1',
            stop=PlannedStop(0, margin_s=0, **limit),
            entries=SimpleNamespace(
                update_own=lambda **_: None,
                advise=lambda zone, now: SimpleNamespace(addresses=['b:80']),
            ),
            record=lambda kind, subject, detail='': self.events.append(
                (kind, detail)
            ),
        )
        self.shutdown = ShutdownController(
            self.board,
            lambda: self.running,
            lambda: self.now,
            lambda: self.done.append('stopped'),
            self.connections,
            self.release,
        )
        self.shutdown.request()

    async def release(self):
        self.done.append('released')

    def step(self, now=5.0):
        self.now = now
        asyncio.run(self.shutdown.step())
        return self.done


def test_shutdown_releases_the_lease_before_stopping_the_loop():
    """Without a release, other entries wait until the lease expires."""
    assert StoppingEntry().step() == ['deaf', 'released', 'stopped']


# The stop counted what was running, not what callers had got.
@pytest.mark.parametrize('incomplete', [False, True])
def test_shutdown_waits_for_what_the_connections_hold(incomplete):
    entry = StoppingEntry()
    channel = FakeChannel(entry.connections)
    channel.incomplete = incomplete
    assert entry.step(1e9) == []
    assert entry.connections.closing
    assert not channel.refusals
    channel.waiting = 0
    assert entry.step(1e9) == ['deaf', 'released', 'stopped']
    assert not entry.connections.has_open()


def test_shutdown_waits_until_the_connections_are_closed():
    entry = StoppingEntry()
    channel = FakeChannel(entry.connections)
    channel.waiting = 0
    channel.close_idle = lambda: None
    assert entry.step() == ['deaf']
    entry.connections.discard(channel)
    assert entry.step() == ['deaf', 'released', 'stopped']


# A body that never became whole was cut at the limit without an answer.
def test_incomplete_requests_are_refused_before_the_limit():
    entry = StoppingEntry(timeout_s=8)
    channel = FakeChannel(entry.connections)
    channel.incomplete = True
    entry.step(10.9)
    assert not channel.refusals
    entry.step(11)
    entry.step(11.1)
    assert [each.code for each in channel.refusals] == [ErrorCode.SHUTTING_DOWN]
    assert channel.refusals[0].address == 'b:80'


# Requests that the limit cut left no line in the log.
def test_requests_that_the_limit_cuts_are_recorded():
    entry = StoppingEntry(timeout_s=8)
    channel = FakeChannel(entry.connections)
    assert entry.step(12.9) == []
    assert entry.step(13) == ['deaf', 'released', 'stopped']
    assert channel.cuts == ['stop timeout']
    assert entry.events[-1] == (
        EventKind.STOPPED,
        '1 requests aborted by the stop timeout',
    )
