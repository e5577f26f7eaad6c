"""What must hold at the end of a scenario, against what really happened."""

from foxtailhatch.callers.operations import PublishConflict
from foxtailhatch.config.state import MAX_DECISIONS
from foxtailhatch.core import Refusal, RunState
from tests.faults.scenario import ANSWER_STEPS, CONFIGURATION_BOUND_S

RECOVERY_S = 0.54
LEAVE_S = 3.0


def failures(scenario, finishes=True, recovers=False, books=False):
    """Return a sentence for each thing that does not hold.

    ``finishes`` asks that the answer ends whole, ``recovers`` that its next
    token comes in good time after the fault, and ``books`` that the calls
    that may not repeat are done.
    """
    found = [
        *scenario.broken,
        *_invariants(scenario),
        *_loops(scenario),
        *_answers(scenario, finishes),
        *_bookings(scenario),
        *_leaving(scenario),
        *_stops(scenario),
        *_versions(scenario),
        *_publications(scenario),
    ]
    if recovers:
        found.extend(_recovery(scenario))
    if books:
        found.extend(_unbooked(scenario))
    return found


def _invariants(scenario):
    for entry in scenario.entries:
        if entry.parts.guard.broken:
            last = entry.board.timeline.events()[-1]
            yield f'{entry.name} broke {last}'


def _loops(scenario):
    for entry in scenario.entries:
        for exc in entry.failures():
            yield f'a loop of {entry.name} ended: {exc!r}'


def _answers(scenario, finishes):
    for answer in scenario.answers:
        expected = answer.expected()
        heard = len(answer.tokens)
        if answer.tokens != expected[:heard]:
            yield f'{answer.name} got wrong tokens'
        if answer.finished and heard != len(expected):
            yield f'{answer.name} was told finished after {heard} tokens'
        if finishes and not answer.finished and answer.began_at:
            yield f'{answer.name} did not finish: {answer.refusals}'
        for refusal, ran in answer.refusals:
            if refusal.run is not RunState.UNKNOWN:
                if (refusal.run is RunState.RAN) != ran:
                    yield f'{answer.name}: {refusal}, though ran is {ran}'


def _bookings(scenario):
    for booking in scenario.bookings:
        yield from booking.lies
        runs = scenario.world.runs(booking.key)
        if runs > 1:
            yield f'{booking.key} ran {runs} times'
        answers = {told.unwrap().body for told in booking.told if _is_ok(told)}
        if len(answers) > 1 and not booking.service.startswith('gauge'):
            yield f'{booking.key} was told different answers'
        if booking.told and not runs and any(map(_is_ok, booking.told)):
            yield f'{booking.key} was told done and never ran'


def _unbooked(scenario):
    for booking in scenario.bookings:
        if not any(map(_is_ok, booking.told)):
            yield f'{booking.key} was not done: {booking.told}'


def _is_ok(told):
    return not isinstance(told.swap().value_or(None), Refusal)


def _leaving(scenario):
    for left in scenario.leaving:
        engine = scenario.world.engines.get(left.name)
        sent = [at for at, to in scenario.world.sends if to == left.name]
        moments = sent if engine is None else engine.opened.values()
        late = [at for at in moments if left.at + LEAVE_S < at < left.until]
        if late:
            yield f'{left.name} left at {left.at:.3f} and got work at {late}'


def _stops(scenario):
    for entry in scenario.entries:
        if entry.board.stop.is_requested():
            if not entry.exited and not entry.dead:
                yield f'{entry.name} never ended its planned stop'
            if entry.cut:
                yield f'{entry.name} cut off {entry.cut} requests'


def _versions(scenario):
    for name, versions in scenario.versions.items():
        if versions != sorted(set(versions)):
            yield f'{name} had versions {versions} in force'
    if not scenario.agreed:
        versions = {each.name: each.version for each in scenario.entries}
        yield f'no agreement in {CONFIGURATION_BOUND_S} s: {versions}'
    if not scenario.joined:
        yield 'a new entry knows no configuration'


def _publications(scenario):
    live = [entry for entry in scenario.entries if not entry.dead]
    decided = {
        each.publication_id: {
            entry.board.fold.decision(each.publication_id) for entry in live
        }
        for each in scenario.publishings
    }
    accepted = [each for each in scenario.publishings if each.version]
    if len({each.made_from for each in accepted}) < len(accepted):
        yield 'two operators replaced the same version'
    # Entries forget old decisions, as the program says.
    for each in scenario.publishings[-MAX_DECISIONS // 2 :]:
        known = decided[each.publication_id]
        if each.version and known != {each.version}:
            yield f'{each.publication_id}: told {each.version}, is {known}'
        if each.told is not None and not each.version:
            failure = each.told.failure()
            yield from _refused(each, failure, known)


def _refused(publishing, failure, known):
    name = publishing.publication_id
    if isinstance(failure, PublishConflict):
        if any(known - {None}):
            yield f'{name}: told a conflict, but is {known}'
    elif isinstance(failure, Refusal):
        if failure.run is RunState.NOT_RUN and known != {None}:
            yield f'{name}: told not published, but is {known}'


def _recovery(scenario):
    if scenario.fault_step not in ANSWER_STEPS[:-1]:
        return
    later = [at for at in scenario.answer.times if at > scenario.fault_at]
    gap_s = min(later, default=1e9) - scenario.fault_at
    if gap_s > RECOVERY_S:
        yield f'the next token came {gap_s:.2f} s after the fault'
