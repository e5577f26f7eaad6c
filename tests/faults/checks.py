"""What must hold at the end of a scenario, against what really happened."""

from foxtailhatch.callers.operations import PublishConflict
from foxtailhatch.config.state import MAX_DECISIONS
from foxtailhatch.core import Refusal, RunState
from tests.faults.scenario import ANSWER_STEPS, CONFIGURATION_BOUND_S

RECOVERY_S = 0.54
LEAVE_S = 3.0


def find_violations(
    scenario, must_finish=True, recovers=False, calls_succeed=False
):
    """Return a sentence for each thing that does not hold.

    ``finishes`` asks that the answer ends whole, ``recovers`` that its next
    token comes in good time after the fault, and ``books`` that the calls
    that may not repeat are done.
    """
    violations = [
        *scenario.errors,
        *_invariants(scenario),
        *_loops(scenario),
        *_answers(scenario, must_finish),
        *_bookings(scenario),
        *_work_after_leave(scenario),
        *_stops(scenario),
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
            yield f'{entry.name} broke {last}'


def _loops(scenario):
    for entry in scenario.entries:
        for exc in entry.loop_failures():
            yield f'a loop of {entry.name} ended: {exc!r}'


def _answers(scenario, must_finish):
    for answer in scenario.answers:
        expected = answer.expected()
        received = len(answer.tokens)
        if answer.tokens != expected[:received]:
            yield f'{answer.name} got wrong tokens'
        if answer.finished and received != len(expected):
            yield f'{answer.name} was told finished after {received} tokens'
        if must_finish and not answer.finished and answer.started_at:
            yield f'{answer.name} did not finish: {answer.refusals}'
        for refusal, ran in answer.refusals:
            if refusal.run is not RunState.UNKNOWN:
                if (refusal.run is RunState.RAN) != ran:
                    yield f'{answer.name}: {refusal}, though ran is {ran}'


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
            yield f'{booking.key} was told different answers'
        if (
            booking.outcomes
            and not runs
            and any(map(_succeeded, booking.outcomes))
        ):
            yield f'{booking.key} was told done and never ran'


def _incomplete_bookings(scenario):
    for booking in scenario.bookings:
        if not any(map(_succeeded, booking.outcomes)):
            yield f'{booking.key} was not done: {booking.outcomes}'


def _succeeded(outcome):
    return not isinstance(outcome.swap().value_or(None), Refusal)


def _work_after_leave(scenario):
    for left in scenario.leaves:
        engine = scenario.sim.engines.get(left.name)
        sent = [at for at, to in scenario.sim.service_sends if to == left.name]
        moments = sent if engine is None else engine.opened_at.values()
        late = [
            at
            for at in moments
            if left.started_at + LEAVE_S < at < left.ended_at
        ]
        if late:
            yield f'{left.name} left at {left.started_at:.3f} and got work at {late}'


def _stops(scenario):
    for entry in scenario.entries:
        if entry.board.stop.is_requested():
            if not entry.exited and not entry.dead:
                yield f'{entry.name} never ended its planned stop'
            if entry.aborted_requests:
                yield f'{entry.name} cut off {entry.aborted_requests} requests'


def _configuration_versions(scenario):
    for name, versions in scenario.versions.items():
        if versions != sorted(set(versions)):
            yield f'{name} had versions {versions} in force'
    if not scenario.converged:
        versions = {each.name: each.version for each in scenario.entries}
        yield f'no agreement in {CONFIGURATION_BOUND_S} s: {versions}'
    if not scenario.joiner_converged:
        yield 'a new entry knows no configuration'


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
        yield 'two operators replaced the same version'
    # Entries forget old decisions, as the program says.
    for each in scenario.publish_clients[-MAX_DECISIONS // 2 :]:
        known = decided[each.publication_id]
        if each.version and known != {each.version}:
            yield f'{each.publication_id}: told {each.version}, is {known}'
        if each.outcome is not None and not each.version:
            failure = each.outcome.failure()
            yield from _refused_publication(each, failure, known)


def _refused_publication(publish_client, failure, known):
    name = publish_client.publication_id
    if isinstance(failure, PublishConflict):
        if any(known - {None}):
            yield f'{name}: told a conflict, but is {known}'
    elif isinstance(failure, Refusal):
        if failure.run is RunState.NOT_RUN and known != {None}:
            yield f'{name}: told not published, but is {known}'


def _recovery(scenario):
    if scenario.fault_step not in ANSWER_STEPS[:-1]:
        return
    later = [at for at in scenario.answer.token_times if at > scenario.fault_at]
    gap_s = min(later, default=1e9) - scenario.fault_at
    if gap_s > RECOVERY_S:
        yield f'the next token came {gap_s:.2f} s after the fault'
