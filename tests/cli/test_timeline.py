import json

from foxtailhatch.callers import EntryRecommendation
from foxtailhatch.cli.timeline import EventFilter, merge_events
from foxtailhatch.cli.trace import chrome_trace
from foxtailhatch.core import Event, EventKind, HybridTimestamp
from tests.cli.entry_server import run, run_entry_servers

ADMITTED = Event(
    HybridTimestamp(1.0, 0, 'a'), EventKind.REQUEST_ADMITTED, 'req-1'
)
RECOVERED = Event(
    HybridTimestamp(1.0, 1, 'b'), EventKind.ANSWER_RECOVERED, 'req-1'
)
FINISHED = Event(
    HybridTimestamp(1.5, 0, 'a'), EventKind.REQUEST_FINISHED, 'req-1'
)
STARTED = Event(HybridTimestamp(0.5, 0, 'b'), EventKind.STARTED, 'b')


def test_events_of_all_entries_are_merged_in_order(tmp_path):
    with run_entry_servers(2) as (first, second):
        first.gateway.recommendation = EntryRecommendation(
            (second.address, 'x'), 30
        )
        first.observability.events = [ADMITTED, FINISHED]
        second.observability.events = [STARTED, RECOVERED]
        trace = tmp_path / 'trace.json'
        invocation = run('timeline', '--entry', first.address, '--trace', trace)
    kinds = [line.split()[3] for line in invocation.stdout.splitlines()]
    expected = [STARTED, ADMITTED, RECOVERED, FINISHED]
    assert kinds == [event.kind.value for event in expected]
    assert invocation.stdout.startswith('1970-01-01T00:00:00.500000+00:00 0 b')
    assert 'skipped: x' in invocation.stderr
    assert len(json.loads(trace.read_text())['traceEvents']) == 7


CHOSEN = Event(
    HybridTimestamp(1.0, 2, 'a'),
    EventKind.CHAIN_SELECTED,
    'req-1',
    '1:engine-0>engine-1',
)


def test_the_subject_option_filters_events():
    with run_entry_servers() as (entry,):
        entry.observability.events = [STARTED, RECOVERED]
        args = ('--entry', entry.address, '--subject', 'req-1')
        invocation = run('timeline', *args)
    assert len(invocation.stdout.splitlines()) == 1


def test_an_endpoint_matches_the_chains_that_contain_it():
    lost = Event(
        HybridTimestamp(2.0, 0, 'a'), EventKind.SESSION_LOST, 'engine-1'
    )
    events = [ADMITTED, CHOSEN, lost]
    assert merge_events([events], EventFilter('engine-1')) == [CHOSEN, lost]
    assert merge_events([events], EventFilter('engine')) == []


def test_since_and_until_limit_the_events():
    parts = [[STARTED, ADMITTED], [FINISHED]]
    assert merge_events(parts, EventFilter('', 0.6, 1.2)) == [ADMITTED]


def test_a_request_is_a_span_of_its_instance_in_the_trace():
    trace = chrome_trace([ADMITTED, RECOVERED, FINISHED])['traceEvents']
    (span,) = [event for event in trace if event['ph'] == 'X']
    assert (span['name'], span['ts'], span['dur']) == ('req-1', 1e6, 0.5e6)


def test_an_unreachable_entry_is_an_error():
    assert run('timeline', '--entry', '127.0.0.1:1').exit_code == 3
