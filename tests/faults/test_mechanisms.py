"""A cell that relies on a mechanism fails when the mechanism is disabled."""

from contextlib import nullcontext
from dataclasses import replace
from unittest import mock

import pytest

from foxtailhatch.config import state
from foxtailhatch.config.snapshots import SnapshotWriter
from foxtailhatch.daemon.pause_detector import PauseDetector
from foxtailhatch.daemon.peer_loop import PeerLoop
from foxtailhatch.daemon.stall_policy import BudgetedStallPolicy
from foxtailhatch.durable.claim_controller import ClaimController
from foxtailhatch.durable.claim_table import ClaimStatus, ClaimTable
from foxtailhatch.durable.outbox import Outbox
from foxtailhatch.durable.send_controller import SendController
from foxtailhatch.membership.endpoint_record import EndpointRecord
from foxtailhatch.pipeline.answer import AnswerRun
from foxtailhatch.pipeline.stage import StageRun
from tests.faults.matrix import Cell, run_cell
from tests.faults.test_invariants import STOP_WITHOUT_DRAIN

patch = mock.patch.object


def buffer_any(stage, output):
    stage.buffered_outputs[output.position] = output
    return True


def pop_any(stage, now):
    if not stage.steps or not stage.buffered_outputs:
        return None
    oldest = next(iter(stage.buffered_outputs))
    return stage.steps.popleft(), stage.buffered_outputs.pop(oldest)


def acknowledge_any(outbox, now, batch, fault):
    """Treat each failed append as acknowledged."""
    outbox.handle_acknowledgement(batch)


def report_not_run(sends, request_id):
    return sends.abandon(sends._pending_requests.get(request_id), None)


def accept_any(folded, record):
    version = folded.cfg.version + 1
    cfg = replace(state._parse(folded.cfg, record).unwrap(), version=version)
    return state._put_in_force(folded, record.publication_id, cfg)


def send_without_claim(claims, now, req, log_up):
    return claims._permit_run(claims._pending_requests.add(req, 0))


def grant_always(table, logged, claim):
    return ClaimStatus.GRANTED


def same_stream(run, frame):
    return getattr(frame, 'stream', None) == run.plan.stream


DISABLED_MECHANISMS = {
    'stale attempts fenced': (
        patch(AnswerRun, '_is_current', same_stream),
        Cell(('stage death',), 'token-3'),
    ),
    'stalls detected': (
        patch(BudgetedStallPolicy, 'timeout_s', lambda *_: 1e9),
        Cell(('freeze',), 'token-3'),
    ),
    'session losses recovered': (
        patch(AnswerRun, '_recover', lambda *_: ()),
        Cell(('stage death',), 'open-1'),
    ),
    'outputs matched to steps': (
        mock.patch.multiple(
            StageRun, buffer_output=buffer_any, pop_ready=pop_any
        ),
        Cell(('duplicated frames',), 'token-0'),
    ),
    'claims awaited': (
        patch(ClaimController, 'submit', send_without_claim),
        Cell(('log slow',), 'claim'),
    ),
    'first claim wins': (
        patch(ClaimTable, '_apply_claim', grant_always),
        Cell(('entry death',), 'ran'),
    ),
    'appends retried': (
        patch(Outbox, 'handle_failure', acknowledge_any),
        Cell(('acknowledgement lost, not landed',), 'claim'),
    ),
    'lost responses reported as unknown': (
        patch(SendController, 'handle_lost_response', report_not_run),
        Cell(('silent connection',), 'send'),
    ),
    'leaves respected': (
        patch(EndpointRecord, 'leaving_since', lambda *_: None),
        Cell(('endpoint leaving',), 'prefill'),
    ),
    'pauses detected': (
        patch(PauseDetector, 'is_current', lambda _: True),
        Cell(('endpoint leaving', 'claimant paused'), 'token-3'),
    ),
    'stop drains': (STOP_WITHOUT_DRAIN, Cell(('planned stop',), 'token-3')),
    'snapshots written': (
        patch(SnapshotWriter, 'step', lambda *_: None),
        Cell(('load reports old',), 'publish'),
    ),
    'publications ordered': (
        patch(state, '_fold_publication', accept_any),
        Cell(('racing operators',), 'publish'),
    ),
}


@pytest.mark.parametrize('name', DISABLED_MECHANISMS)
def test_cell_fails_without_its_mechanism(name):
    disabled, cell = DISABLED_MECHANISMS[name]
    # A new entry also receives the configuration from its peers.
    without_peer_adoption = patch(PeerLoop, '_adopt', lambda *_: None)
    with (
        without_peer_adoption if name == 'snapshots written' else nullcontext()
    ):
        assert run_cell(cell).violations == ()
        with disabled:
            assert run_cell(cell).violations
