"""A running entry stops when one of its invariants is violated."""

import json
import logging
import signal
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import cbor2

from demo.launcher import entry_settings, new_launcher
from demo.system import environment, start_engines, start_platform
from foxtailhatch.config import encode_record, make_snapshot
from foxtailhatch.config.peer_updates import STATE
from foxtailhatch.config.state import FoldState
from foxtailhatch.core import EventKind, Invariant, RunState, check_invariant
from foxtailhatch.daemon.app import EXIT_INVARIANT
from foxtailhatch.daemon.chain_source import PoolChainSource
from foxtailhatch.durable.claim_controller import ClaimController
from foxtailhatch.membership import EndpointTable, PlannedStop
from foxtailhatch.membership.planned_stop import StopPhase, StopStatus
from foxtailhatch.peers import ConfigurationPush
from foxtailhatch.pipeline import DeliverToken
from foxtailhatch.pipeline.answer import AnswerRun
from tests.faults.faults import request_planned_stop, start_endpoint_leave
from tests.faults.scenario import Scenario

STOP_WITHOUT_DRAIN = mock.patch.object(
    PlannedStop,
    'status',
    lambda stop, running, now: StopStatus(
        StopPhase.DONE if stop.is_requested() else StopPhase.SERVING, running
    ),
)


def assert_stopped(caplog, invariant, step='', *faults, number=0):
    """Check that one entry records and logs the violation, then exits."""
    scenario = Scenario({step: faults}).run()
    entry = scenario.entries[number]
    recorded = [
        event
        for event in entry.board.timeline.events()
        if event.kind is EventKind.INVARIANT_BROKEN
    ]
    logged = [
        line.event
        for line in caplog.records
        if line.levelno == logging.CRITICAL
        and line.event.stamp.instance == entry.name
    ]
    assert [event.subject for event in recorded] == [invariant.value]
    assert logged == recorded
    assert entry.exited


def test_incomplete_chain_stops_the_entry(caplog):
    find_chain = PoolChainSource.find_chain

    def shorten(chains, req, now):
        result = find_chain(chains, req, now)
        return result.map(lambda chain: replace(chain, stages=chain.stages[1:]))

    with mock.patch.object(PoolChainSource, 'find_chain', shorten):
        assert_stopped(caplog, Invariant.LAYERS_ONCE_IN_ORDER)


def test_duplicate_token_stops_the_entry(caplog):
    handle_token = AnswerRun._handle_token

    def repeat(run, *args):
        for action in handle_token(run, *args):
            yield action
            if isinstance(action, DeliverToken):
                yield action

    with mock.patch.object(AnswerRun, '_handle_token', repeat):
        assert_stopped(caplog, Invariant.COMPLETE_OWN_RESPONSE)


def test_reporting_an_executed_answer_as_not_run_stops_the_entry(caplog):
    def lose_stage(scenario, step):
        for letter in 'ab':
            scenario.sim.engines[f'{letter}1'].kill()

    not_run_only = dict.fromkeys(
        ('RAN', 'UNKNOWN', 'NOT_RUN'), RunState.NOT_RUN
    )
    states = SimpleNamespace(**not_run_only)
    module = 'foxtailhatch.pipeline.answer'
    short_window = mock.patch(f'{module}.RECOVERY_WINDOW_S', 1)
    with short_window, mock.patch(f'{module}.RunState', states):
        invariant = Invariant.NOT_RUN_IS_ACCURATE
        assert_stopped(caplog, invariant, 'token-3', lose_stage)


def test_sending_without_a_claim_stops_the_entry(caplog):
    def submit(claims, now, req, log_up):
        return claims._permit_run(claims._pending_requests.add(req, 0))

    with mock.patch.object(ClaimController, 'submit', submit):
        assert_stopped(caplog, Invariant.AT_MOST_ONCE)


def test_work_for_a_draining_endpoint_stops_the_entry(caplog):
    usable = mock.patch.object(
        EndpointTable, 'usable_names', lambda table, now: table.names()
    )
    send = mock.patch.object(EndpointTable, 'may_send', lambda *_: True)
    with usable, send:
        invariant = Invariant.DRAINING_GETS_NO_WORK
        assert_stopped(caplog, invariant, 'prefill', start_endpoint_leave)


def test_exit_during_a_request_is_a_violation(caplog):
    with STOP_WITHOUT_DRAIN:
        invariant = Invariant.SHUTDOWN_ABORTS_NOTHING
        assert_stopped(caplog, invariant, 'token-3', request_planned_stop)


def test_older_version_from_a_peer_stops_the_entry(caplog):
    def push(scenario, step):
        entry = scenario.entries[0]
        newest = entry.board.fold.export_state()
        older = replace(newest.cfg, version=newest.cfg.version - 1)
        snapshot = encode_record(make_snapshot(FoldState(99, older)))
        body = cbor2.dumps([STATE, snapshot])
        entry.inbox.receive(None, ConfigurationPush(older.version, 99, body))

    invariant = Invariant.CONFIGURATION_MONOTONIC
    assert_stopped(caplog, invariant, 'delivery', push)


def test_violation_during_a_log_call_stops_the_entry(caplog):
    """Failures of the tasks of the claim log calls must not be ignored."""

    def read(claims, now, page):
        check_invariant(
            Invariant.NOT_RUN_IS_ACCURATE, False, 'injected violation'
        )

    with mock.patch.object(ClaimController, 'apply_page', read):
        assert_stopped(caplog, Invariant.NOT_RUN_IS_ACCURATE)


def test_process_exits_with_the_invariant_exit_code():
    with new_launcher(environment()) as launcher:
        system = start_platform(launcher)
        start_engines(system, (0, 12))
        platform = {
            'log': system.log.address,
            'instance_list': system.instances.address,
            'weight_store': system.weights.address,
        }
        settings = entry_settings('entry-1', 'thrissur-a', platform)
        path = launcher.write_json('entry-1.json', settings)
        entry = launcher.start(
            'tests.faults.broken_entry', 'serve', '--settings', str(path)
        )
        entry.process.send_signal(signal.SIGTERM)
        assert entry.process.wait(20) == EXIT_INVARIANT
        lines = map(json.loads, entry.log.read_text().splitlines())
        events = {line.get('event'): line.get('subject') for line in lines}
        assert events['invariant_broken'] == 'stop_cuts_nothing'
