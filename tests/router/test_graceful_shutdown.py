from types import SimpleNamespace

from foxtailhatch.router.graceful_shutdown import MIN_STOP_S, GracefulShutdown
from foxtailhatch.routes import RouteKind
from tests.relay.fakes import ListLog, start_relay
from tests.router.fakes import Clock, board
from tests.routes.configurations import MODEL


class RunningRelay:
    """A request in progress that records that it was ended."""

    def __init__(self):
        self.is_ended = False

    def end_for_stop(self):
        self.is_ended = True


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
    shutdown, _, clock, context = start_shutdown((RunningRelay(),))
    shutdown.request_stop()
    shutdown.check(clock.now + 6)
    assert not shutdown.is_over
    context.running.clear()
    shutdown.check(clock.now + 6.1)
    assert shutdown.is_over


def test_stop_completes_at_the_end_of_the_grace_period():
    relay = RunningRelay()
    shutdown, _, clock, _ = start_shutdown((relay,))
    shutdown.request_stop()
    shutdown.check(clock.now + 7.4)
    assert not relay.is_ended
    shutdown.check(clock.now + 7.5)
    assert relay.is_ended
    assert not shutdown.is_over
    shutdown.check(clock.now + 7.75)
    assert shutdown.is_over


# Guards against requests that are cut without an answer, as the process ends.
def test_request_that_may_have_run_is_answered_before_the_process_ends():
    env = start_relay(kind=RouteKind.AT_MOST_ONCE)
    endpoint = env.accept_connection()
    env.relay.end_for_stop()
    assert env.caller.status == 502
    assert env.caller.finished
    assert endpoint.is_aborted


def test_request_that_was_not_sent_is_refused_before_the_process_ends():
    env = start_relay(names=(), service=MODEL)
    assert not env.caller.finished
    env.relay.end_for_stop()
    assert env.caller.status == 503
    assert env.caller.headers[b'retry-after'] == b'0.05'


def test_stream_that_has_begun_is_not_shown_as_complete():
    env = start_relay(resumable=True)
    endpoint = env.accept_connection()
    endpoint.start_stream()
    endpoint.send_event(1)
    env.relay.end_for_stop()
    assert env.caller.aborted
    assert not env.context.running


def test_stopping_entry_is_not_ready():
    shutdown, env, _, _ = start_shutdown()
    assert env.is_ready()
    assert shutdown.request_stop()
    assert not shutdown.request_stop()
    assert not env.is_ready()
