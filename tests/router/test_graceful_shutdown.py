from types import SimpleNamespace

from foxtailhatch.router.graceful_shutdown import MIN_STOP_S, GracefulShutdown
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, board


def start_shutdown(running=()):
    clock = Clock()
    env = board(clock)
    context = SimpleNamespace(running=set(running))
    return GracefulShutdown(env, context, ListLog()), env, clock, context


def test_idle_entry_runs_for_a_minimum_time():
    shutdown, _, clock, _ = start_shutdown()
    shutdown.request_stop()
    shutdown.check(clock.now + MIN_STOP_S / 2)
    assert not shutdown.is_over
    shutdown.check(clock.now + MIN_STOP_S)
    assert shutdown.is_over


def test_stop_waits_for_running_requests():
    shutdown, _, clock, context = start_shutdown(('relay',))
    shutdown.request_stop()
    shutdown.check(clock.now + 6)
    assert not shutdown.is_over
    context.running.clear()
    shutdown.check(clock.now + 6.1)
    assert shutdown.is_over


def test_stop_completes_at_the_end_of_the_grace_period():
    shutdown, _, clock, _ = start_shutdown(('relay',))
    shutdown.request_stop()
    shutdown.check(clock.now + 7.7)
    assert shutdown.is_over


def test_stopping_entry_is_not_ready():
    shutdown, env, _, _ = start_shutdown()
    assert env.is_ready()
    assert shutdown.request_stop()
    assert not shutdown.request_stop()
    assert not env.is_ready()
