"""Checks at the end of a scenario, against the recorded executions."""

from foxtailhatch.callers.operations import PublishConflict
from foxtailhatch.config.state import MAX_DECISIONS
from foxtailhatch.core import Refusal, RunState
from tests.faults.scenario import ANSWER_STEPS, CONFIGURATION_BOUND_S

MAX_RECOVERY_S = 0.54
LEAVE_PROPAGATION_S = 3.0


def find_violations(
    scenario, must_finish=True, recovers=False, calls_succeed=False
):
    """Return one message for each violated property.

    ``must_finish`` requires a complete answer, ``recovers`` that the next
    token arrives within ``MAX_RECOVERY_S`` of the fault, and ``calls_succeed``
    that the non-repeatable calls succeed.
    """
    violations = [
        *scenario.errors,
        *_invariants(scenario),
        *_failed_loops(scenario),
        *_answers(scenario, must_finish),
        *_bookings(scenario),
        *_work_after_leave(scenario),
        *_planned_stops(scenario),
        *_configuration_versions(scenario),
        *_publications(scenario),
    ]
    if recovers:
        violations.extend(_recovery(scenario))
    if calls_succeed:
        violations.extend(_incomplete_bookings(scenario))
    return violations


def _invariants(scenario):
    for entry in scenario.entries:
        if entry.components.guard.broken:
            last = entry.board.timeline.events()[-1]
            yield f'{entry.name} violated an invariant: {last}'


def _failed_loops(scenario):
    for entry in scenario.entries:
        for exc in entry.loop_failures():
            yield f'a loop of {entry.name} failed: {exc!r}'


def _answers(scenario, must_finish):
    for answer in scenario.answers:
        expected = answer.expected()
        received = len(answer.tokens)
        if answer.tokens != expected[:received]:
            yield f'{answer.name} received wrong tokens'
        if answer.finished and received != len(expected):
            yield f'{answer.name} was reported finished after {received} tokens'
        if must_finish and not answer.finished and answer.started_at:
            yield f'{answer.name} did not finish: {answer.refusals}'
        for refusal, ran in answer.refusals:
            if refusal.run is not RunState.UNKNOWN:
                if (refusal.run is RunState.RAN) != ran:
                    yield f'{answer.name}: {refusal}, but ran is {ran}'


def _bookings(scenario):
    for booking in scenario.bookings:
        yield from booking.false_outcomes
        runs = scenario.sim.run_count(booking.key)
        if runs > 1:
            yield f'{booking.key} ran {runs} times'
        answers = {
            outcome.unwrap().body
            for outcome in booking.outcomes
            if _succeeded(outcome)
        }
        if len(answers) > 1 and not booking.service.startswith('gauge'):
            yield f'{booking.key} received different responses'
        if (
            booking.outcomes
            and not runs
            and any(map(_succeeded, booking.outcomes))
        ):
            yield f'{booking.key} was reported done but never ran'


def _incomplete_bookings(scenario):
    for booking in scenario.bookings:
        if not any(map(_succeeded, booking.outcomes)):
            yield f'{booking.key} did not succeed: {booking.outcomes}'


def _succeeded(outcome):
    return not isinstance(outcome.swap().value_or(None), Refusal)


def _work_after_leave(scenario):
    for leave in scenario.leaves:
        engine = scenario.sim.engines.get(leave.name)
        sent = [at for at, to in scenario.sim.service_sends if to == leave.name]
        send_times = sent if engine is None else engine.opened_at.values()
        late = [
            at
            for at in send_times
            if leave.started_at + LEAVE_PROPAGATION_S < at < leave.ended_at
        ]
        if late:
            yield f'{leave.name} left at {leave.started_at:.3f}, got work at {late}'


def _planned_stops(scenario):
    for entry in scenario.entries:
        if entry.board.stop.is_requested():
            if not entry.exited and not entry.dead:
                yield f'{entry.name} did not complete its planned stop'
            if entry.aborted_requests:
                yield f'{entry.name} aborted {entry.aborted_requests} requests'


def _configuration_versions(scenario):
    for name, versions in scenario.versions.items():
        if versions != sorted(set(versions)):
            yield f'{name}: versions in force do not increase: {versions}'
    if not scenario.converged:
        versions = {each.name: each.version for each in scenario.entries}
        yield f'no convergence in {CONFIGURATION_BOUND_S} s: {versions}'
    if not scenario.joiner_converged:
        yield 'a new entry did not receive the configuration'


def _publications(scenario):
    live = [entry for entry in scenario.entries if not entry.dead]
    decided = {
        each.publication_id: {
            entry.board.fold.decision(each.publication_id) for entry in live
        }
        for each in scenario.publish_clients
    }
    accepted = [each for each in scenario.publish_clients if each.version]
    if len({each.made_from for each in accepted}) < len(accepted):
        yield 'two publications replaced the same version'
    # Entries keep only the last MAX_DECISIONS decisions.
    for each in scenario.publish_clients[-MAX_DECISIONS // 2 :]:
        known = decided[each.publication_id]
        if each.version and known != {each.version}:
            yield f'{each.publication_id}: got {each.version}, entries have {known}'
        if each.outcome is not None and not each.version:
            failure = each.outcome.failure()
            yield from _refused_publication(each, failure, known)


def _refused_publication(publish_client, failure, known):
    name = publish_client.publication_id
    if isinstance(failure, PublishConflict):
        if any(known - {None}):
            yield f'{name}: got a conflict, but entries have {known}'
    elif isinstance(failure, Refusal):
        if failure.run is RunState.NOT_RUN and known != {None}:
            yield f'{name}: got not published, but entries have {known}'


def _recovery(scenario):
    if scenario.fault_step not in ANSWER_STEPS[:-1]:
        return
    later = [at for at in scenario.answer.token_times if at > scenario.fault_at]
    gap_s = min(later, default=1e9) - scenario.fault_at
    if gap_s > MAX_RECOVERY_S:
        yield f'the next token arrived {gap_s:.2f} s after the fault'
