from types import SimpleNamespace

from foxtailhatch.router.admission import stop_accept_s
from foxtailhatch.router.caller_channel import RequestStage
from foxtailhatch.router.graceful_shutdown import MIN_STOP_S, GracefulShutdown
from foxtailhatch.routes import RouteKind
from tests.relay.fakes import CountingMetrics, ListLog, start_relay
from tests.router.fakes import Clock, board
from tests.routes.configurations import MODEL


class RunningRelay:
    """A request in progress that records that it was ended."""

    def __init__(self):
        self.is_ended = False

    def end_for_stop(self):
        self.is_ended = True


def start_shutdown(running=(), records=()):
    clock = Clock()
    env = board(clock)
    context = SimpleNamespace(
        running=set(running), log=ListLog(), metrics=CountingMetrics()
    )
    shutdown = GracefulShutdown(
        env, context, context.log, lambda: bool(records)
    )
    return shutdown, env, clock, context


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


class OutstandingChannel:
    """A connection that a stop has to wait for, and what it was told."""

    is_outstanding = True

    def __init__(self):
        self.refusals = []
        self.idle_checks = 0

    def refuse_partial(self, refusal):
        self.refusals.append(refusal.reason.value)

    def close_if_idle(self):
        self.idle_checks += 1

    def pending_requests(self):
        return [('q1', RequestStage.SENDING)]


# Guards against a stop that counts what was decided, not what callers got.
def test_stop_waits_for_answers_that_are_not_handed_over():
    shutdown, env, clock, _ = start_shutdown()
    channel = OutstandingChannel()
    env.channels.add(channel)
    shutdown.request_stop()
    shutdown.check(clock.now + 6)
    assert not shutdown.is_over
    env.channels.discard(channel)
    shutdown.check(clock.now + 6.1)
    assert shutdown.is_over


# Guards against a quarantine that other entries never hear of, as the entry that
# found the cause of a crash is replaced at that moment.
def test_stop_waits_until_the_store_has_taken_records():
    records = ['part']
    shutdown, _, clock, _ = start_shutdown(records=records)
    shutdown.request_stop()
    shutdown.check(clock.now + 6)
    assert not shutdown.is_over
    records.clear()
    shutdown.check(clock.now + 6.1)
    assert shutdown.is_over


def test_store_that_is_away_holds_up_no_stop_beyond_the_grace():
    shutdown, _, clock, context = start_shutdown(records=['part'])
    shutdown.request_stop()
    shutdown.check(clock.now + 7.75)
    assert shutdown.is_over
    assert context.log.of('stop') == [{'running': 0, 'unwritten': True}]


def test_incomplete_requests_are_refused_when_no_more_are_accepted():
    shutdown, env, clock, _ = start_shutdown()
    channel = OutstandingChannel()
    env.channels.add(channel)
    shutdown.request_stop()
    shutdown.check(clock.now + stop_accept_s(env.cfg.bounds.stop_grace_s))
    assert channel.refusals == []
    shutdown.check(clock.now + 2.6)
    assert channel.refusals == ['stopping']
    assert channel.idle_checks == 1


# Guards against logs in which a request that the end of the process cuts off looks
# like one that was answered.
def test_requests_that_the_end_of_the_grace_cuts_off_are_logged():
    shutdown, env, clock, context = start_shutdown()
    env.channels.add(OutstandingChannel())
    shutdown.request_stop()
    shutdown.check(clock.now + 7.75)
    assert shutdown.is_over
    assert context.log.of('answer_undelivered') == [
        {'id': 'q1', 'why': 'stop', 'stage': RequestStage.SENDING.value}
    ]
    assert context.metrics.undelivered == ['stop']


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
