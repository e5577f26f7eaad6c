from foxtailhatch.callers import EntryRecommendation
from foxtailhatch.core import ErrorCode, Refusal, RunState
from tests.callers.http import answer_with
from tests.cli.entry_server import run, run_entry_servers


def ask(entry):
    options = ('--token', 'good', '--model', 'guide')
    return run('ask', '--entry', entry.address, *options, 'Strand 12?')


def test_a_completion_is_streamed_to_its_end():
    with run_entry_servers() as (entry,):
        entry.gateway.script = answer_with('Untie it.')
        invocation = ask(entry)
    assert (invocation.exit_code, invocation.stdout) == (0, 'Untie it.\n')


def test_a_dropped_connection_is_resumed_at_another_entry():
    with run_entry_servers(2) as (first, second):

        def script(req, sink):
            for index, token in enumerate(b'Un'):
                sink.token(index, token)
            abort = first.running.abort_connections
            first.running.reactor.callLater(0, abort)

        first.gateway.script = script
        first.gateway.recommendation = EntryRecommendation(
            (second.address,), 30
        )
        second.gateway.script = answer_with('tie', first=2)
        invocation = ask(first)
    assert (invocation.exit_code, invocation.stdout) == (0, 'Untie\n')
    assert second.gateway.requests[0].received == tuple(b'Un')


def test_an_error_with_an_address_is_retried_there():
    with run_entry_servers(2) as (first, second):
        leaving = Refusal(
            ErrorCode.SHUTTING_DOWN,
            'Stopping.',
            RunState.RAN,
            address=second.address,
        )

        def script(req, sink):
            sink.token(0, 85)
            sink.failed(leaving)

        first.gateway.script = script
        second.gateway.script = answer_with('p', first=1)
        invocation = ask(first)
    assert (invocation.exit_code, invocation.stdout) == (0, 'Up\n')


def test_a_refusal_without_an_address_ends_the_command():
    with run_entry_servers() as (entry,):
        full = Refusal(ErrorCode.QUEUE_FULL, 'Full.')
        entry.gateway.script = lambda req, sink: sink.failed(full)
        invocation = ask(entry)
    assert invocation.exit_code == 1
    assert invocation.stderr == 'queue_full: Full. (not_run)\n'


def test_an_unreachable_entry_ends_the_command():
    invocation = run(
        'ask', '--entry', '127.0.0.1:1', '--token', 't', '--model', 'm', 'x'
    )
    assert invocation.exit_code == 3
