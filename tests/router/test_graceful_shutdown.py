from types import SimpleNamespace

from foxtailhatch.router.graceful_shutdown import STOP_MIN_S, GracefulShutdown
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, board


def stop(running=()):
    clock = Clock()
    made = board(clock)
    parts = SimpleNamespace(running=set(running))
    return GracefulShutdown(made, parts, ListLog()), made, clock, parts


def test_idle_entry_stays_for_callers_that_still_come():
    planned, _, clock, _ = stop()
    planned.ask()
    planned.look(clock.now + STOP_MIN_S / 2)
    assert not planned.is_over
    planned.look(clock.now + STOP_MIN_S)
    assert planned.is_over


def test_running_requests_are_waited_for():
    planned, _, clock, parts = stop(('relay',))
    planned.ask()
    planned.look(clock.now + 6)
    assert not planned.is_over
    parts.running.clear()
    planned.look(clock.now + 6.1)
    assert planned.is_over


def test_grace_ends_the_wait():
    planned, _, clock, _ = stop(('relay',))
    planned.ask()
    planned.look(clock.now + 7.7)
    assert planned.is_over


def test_stopping_entry_is_not_ready():
    planned, made, _, _ = stop()
    assert made.is_ready()
    assert planned.ask()
    assert not planned.ask()
    assert not made.is_ready()
