import pytest

from foxtailhatch.callers import FinishReason
from foxtailhatch.core import (
    Chain,
    ChainStage,
    ErrorCode,
    InvariantViolation,
    LayerRange,
    RunState,
)
from foxtailhatch.outside.frames import (
    CancelStage,
    StageOpened,
    StageOutput,
    StepStage,
)
from foxtailhatch.pipeline import AnswerFailed, AnswerFinished, AnswerRun
from foxtailhatch.pipeline.answer import RECOVERY_WINDOW_S
from foxtailhatch.pipeline.attempt import Attempt
from foxtailhatch.pipeline.retained_inputs import RetainedInputs
from tests.pipeline.fakes import (
    Driver,
    FixedChains,
    expected_tokens,
    plan,
    started_driver,
)

FINISHED = AnswerFinished(FinishReason.LENGTH)


def test_an_answer_has_the_tokens_that_the_layers_produce():
    driver = started_driver()
    driver.pump()
    assert driver.delivered == expected_tokens()
    assert driver.outcome == FINISHED


@pytest.mark.parametrize('victim', ['a', 'b', 'c'])
@pytest.mark.parametrize('tokens_delivered', range(8))
def test_the_loss_of_a_stage_loses_no_token(victim, tokens_delivered):
    driver = started_driver()
    driver.pump(until_tokens=tokens_delivered)
    driver.engines[victim].dead = True
    driver.run._chains.down.add(victim)
    driver.perform(driver.run.handle_session_loss(victim, driver.now))
    driver.pump()
    assert driver.delivered == expected_tokens()
    assert driver.outcome == FINISHED


@pytest.mark.parametrize('victim', ['a', 'b', 'c'])
def test_a_frozen_stage_is_replaced_after_its_timeout(victim):
    driver = started_driver()
    driver.pump(until_tokens=3)
    driver.engines[victim].frozen = True
    driver.pump()
    assert driver.outcome is None
    driver.wait(0.3)
    assert driver.delivered == expected_tokens()


def test_only_the_replacement_stage_runs_the_prefix_again():
    driver = started_driver()
    driver.pump(until_tokens=4)
    driver.engines['b'].dead = True
    driver.run._chains.down.add('b')
    driver.perform(driver.run.handle_session_loss('b', driver.now))
    driver.pump()
    steps_of_retry = {
        name: [step for step in engine.steps if step[0] == 2]
        for name, engine in driver.engines.items()
    }
    # 'e' replaces 'b' and gets all retained activations in one step.
    assert steps_of_retry['e'][0][1:] == (0, 8)
    assert all(
        position >= 8
        for _, position, _ in steps_of_retry['a'] + steps_of_retry['c']
    )


def test_without_retained_inputs_the_prefix_runs_on_every_stage():
    run = AnswerRun(plan(), FixedChains(), retained_bytes=0)
    driver = Driver(run)
    driver.begin()
    driver.pump(until_tokens=4)
    driver.run._chains.down.add('b')
    driver.perform(driver.run.handle_session_loss('b', driver.now))
    driver.pump()
    assert driver.delivered == expected_tokens()
    assert (2, 0, 9) in driver.engines['a'].steps


def test_late_frames_of_an_earlier_attempt_are_ignored():
    driver = started_driver()
    driver.pump(until_tokens=3)
    late = StageOutput('s', 1, LayerRange(4, 6), 7, token=1)
    driver.run._chains.down.add('b')
    driver.perform(driver.run.handle_session_loss('b', driver.now))
    assert driver.run.handle_frame('c', late, driver.now) == []
    driver.pump()
    assert driver.delivered == expected_tokens()


def test_duplicated_and_reordered_frames_do_not_change_the_answer():
    driver = started_driver(prompt=tuple(range(300)))
    held = []
    while driver.pending:
        action = driver.pending.popleft()
        replies = driver.engines[action.endpoint].handle(action.frame)
        if isinstance(action.frame, StepStage):
            held += [(action.endpoint, reply) for reply in replies] * 2
        else:
            for reply in replies:
                driver.perform(
                    driver.run.handle_frame(action.endpoint, reply, 0)
                )
        if not driver.pending:
            for endpoint, reply in reversed(held):
                driver.perform(driver.run.handle_frame(endpoint, reply, 0))
            held = []
    assert driver.delivered == expected_tokens(tuple(range(300)))


def test_an_endpoint_resumes_over_a_new_session():
    driver = started_driver()
    driver.pump(until_tokens=3)
    driver.pending.clear()
    driver.perform(driver.run.handle_session_loss('b', driver.now))
    driver.pump()
    assert driver.delivered == expected_tokens()
    assert driver.engines['b'].steps[-1][0] == 2
    assert not driver.engines['e'].steps


def test_a_full_stage_is_replaced_before_anything_runs():
    driver = Driver(AnswerRun(plan(), FixedChains()))
    driver.engines['b'].full = True
    driver.begin()
    driver.pump()
    assert driver.delivered == expected_tokens()


def test_without_a_free_endpoint_the_request_is_refused_as_not_run():
    driver = Driver(AnswerRun(plan(), FixedChains(('a',), ('b',), ('c',))))
    driver.engines['b'].full = True
    driver.begin()
    driver.pump()
    assert driver.outcome.refusal.run is RunState.NOT_RUN
    assert not any(engine.steps for engine in driver.engines.values())


def test_an_answer_waits_for_capacity_and_resumes():
    driver = Driver(AnswerRun(plan(), FixedChains(('a',), ('b',), ('c',))))
    driver.begin()
    driver.pump(until_tokens=3)
    driver.run._chains.down.add('b')
    driver.perform(driver.run.handle_session_loss('b', driver.now))
    driver.pump()
    driver.wait(1)
    assert driver.outcome is None
    driver.run._chains.down.clear()
    driver.wait(1)
    assert driver.delivered == expected_tokens()


def test_an_answer_without_capacity_fails_after_the_recovery_window():
    driver = Driver(AnswerRun(plan(), FixedChains(('a',), ('b',), ('c',))))
    driver.begin()
    driver.pump(until_tokens=3)
    driver.run._chains.down.add('b')
    driver.perform(driver.run.handle_session_loss('b', driver.now))
    driver.wait(30)
    assert driver.outcome.refusal.run is RunState.RAN


def test_an_answer_that_is_not_repeatable_is_not_run_again():
    driver = started_driver(repeatable=False)
    driver.pump(until_tokens=3)
    driver.pending.clear()
    driver.perform(driver.run.handle_session_loss('b', driver.now))
    assert driver.outcome.refusal.run in {RunState.RAN, RunState.UNKNOWN}
    frames = [action.frame for action in driver.pending]
    assert frames == [CancelStage('s', 1)] * 3


# Guards against an answer that may not run again and is ended with an unknown outcome,
# as an engine was silent for some tenths of a second.
def test_an_answer_that_is_not_repeatable_waits_for_a_silent_endpoint():
    driver = started_driver(repeatable=False)
    driver.pump(until_tokens=3)
    on_their_way = list(driver.pending)
    driver.pending.clear()
    driver.wait(2)
    assert driver.outcome is None
    driver.pending.extend(on_their_way)
    driver.pump()
    assert driver.delivered == expected_tokens()
    assert driver.run.attempt_number == 1


def test_an_answer_that_is_not_repeatable_does_not_wait_for_ever():
    driver = started_driver(repeatable=False)
    driver.pump(until_tokens=3)
    driver.pending.clear()
    driver.wait(RECOVERY_WINDOW_S + 1)
    assert driver.outcome.refusal.code is ErrorCode.OUTCOME_UNKNOWN
    assert driver.run.attempt_number == 1


def test_an_answer_resumes_after_the_tokens_that_the_caller_received():
    received = tuple(expected_tokens()[:5])
    driver = Driver(AnswerRun(plan(received=received), FixedChains()))
    driver.delivered = list(received)
    driver.begin()
    driver.pump()
    assert driver.delivered == expected_tokens()


def test_a_paused_answer_requests_no_tokens():
    driver = started_driver()
    driver.pump(until_tokens=2)
    driver.run.pause()
    driver.pump()
    paused_at = len(driver.delivered)
    assert driver.outcome is None
    driver.perform(driver.run.resume(driver.now))
    driver.pump()
    assert paused_at <= 3
    assert driver.delivered == expected_tokens()


def test_a_cancelled_answer_is_cancelled_on_every_stage():
    driver = started_driver()
    driver.pump(until_tokens=2)
    driver.perform(driver.run.cancel())
    driver.pump()
    assert not any(engine.held for engine in driver.engines.values())


def test_a_chain_with_a_missing_layer_breaks_the_invariant():
    stages = (
        ChainStage('a', LayerRange(0, 2)),
        ChainStage('c', LayerRange(3, 6)),
    )
    with pytest.raises(InvariantViolation, match='layers_once_in_order'):
        Attempt(plan(), Chain('m', '1', stages), 1, RetainedInputs(), 0)


@pytest.mark.parametrize('outputs', [(), ('aa', 'bb')])
def test_a_stage_with_a_wrong_number_of_outputs_is_replaced(outputs):
    """Guards against one faulty engine stopping every entry.

    Relaying such an output breaks an invariant, which stops the process.
    """
    driver = started_driver()
    driver.pump(until_tokens=1)
    step = driver.pending.popleft()
    driver.engines[step.endpoint].handle(step.frame)
    position = step.frame.position
    wrong = StageOutput('s', 1, LayerRange(0, 2), position, outputs)
    driver.perform(driver.run.handle_frame(step.endpoint, wrong, driver.now))
    driver.pump()
    assert driver.delivered == expected_tokens()
    assert driver.run.attempt_number == 2


def test_a_stage_with_an_output_for_an_unsent_step_is_replaced():
    driver = started_driver()
    driver.pump(until_tokens=1)
    wrong = StageOutput('s', 1, LayerRange(4, 6), 99, token=5)
    driver.perform(driver.run.handle_frame('c', wrong, driver.now))
    driver.pump()
    assert driver.delivered == expected_tokens()
    assert 'f' in {action.endpoint for action in driver.sent}


def test_relaying_a_wrong_number_of_outputs_breaks_the_invariant():
    driver = started_driver()
    driver.pump(until_tokens=1)
    step = driver.pending.popleft()
    driver.engines[step.endpoint].handle(step.frame)
    short = StageOutput('s', 1, LayerRange(0, 2), step.frame.position)
    with pytest.raises(InvariantViolation, match='layers_once_in_order'):
        list(driver.run.attempt.handle_output(0, short, driver.now))


# Guards against one prompt that crashes an endpoint after the other.
def test_answer_that_lost_three_endpoints_before_its_first_token_fails():
    chains = FixedChains(('a', 'd', 'g', 'j'), ('b', 'e'), ('c', 'f'))
    driver = Driver(AnswerRun(plan(), chains), names='abcdefgj')
    driver.begin()
    for name in 'adg':
        while driver.sent[-1].endpoint != name or not isinstance(
            driver.sent[-1].frame, StepStage
        ):
            action = driver.pending.popleft()
            for reply in driver.engines[action.endpoint].handle(action.frame):
                driver.perform(
                    driver.run.handle_frame(action.endpoint, reply, 0)
                )
        driver.pending.clear()
        chains.down.add(name)
        driver.perform(driver.run.handle_session_loss(name, driver.now))
    assert isinstance(driver.outcome, AnswerFailed)
    assert driver.outcome.refusal.run is RunState.UNKNOWN
    assert all(action.endpoint != 'j' for action in driver.sent)


def test_answer_that_has_tokens_survives_any_number_of_lost_endpoints():
    chains = FixedChains(('a', 'd', 'g', 'j'), ('b', 'e'), ('c', 'f'))
    driver = Driver(AnswerRun(plan(), chains), names='abcdefgj')
    driver.begin()
    for count, name in enumerate('adg', 1):
        driver.pump(until_tokens=count)
        chains.down.add(name)
        driver.perform(driver.run.handle_session_loss(name, driver.now))
    driver.pump()
    assert driver.delivered == expected_tokens()


def _with_step_at_last_stage():
    """Return a driver with three tokens whose last stage sends nothing more."""
    driver = started_driver()
    driver.pump(until_tokens=3)
    driver.engines['c'].frozen = True
    driver.pump()
    return driver, driver.run.attempt.stages[-1]


# Guards against a token that no answer can hold: a negative one was no byte and
# raised in the callback of the session, with the frames of all other answers.
@pytest.mark.parametrize('token', [-1, 2**31, 10**30])
def test_an_output_without_a_possible_token_excludes_its_engine(token):
    driver, last = _with_step_at_last_stage()
    bad = StageOutput('s', 1, last.layers, last.steps[0].position, token=token)
    driver.perform(driver.run.handle_frame('c', bad, driver.now))
    assert 'c' not in [each.endpoint for each in driver.run.attempt.stages]
    driver.pump()
    assert driver.delivered == expected_tokens()
    assert driver.outcome == FINISHED


def _repeat_while_frozen(victim, frame_of):
    """Repeat a frame of a stage that does nothing more."""
    driver = started_driver()
    driver.pump(until_tokens=3)
    driver.engines[victim].frozen = True
    driver.pump()
    frame = frame_of(driver.run)
    for _ in range(10):
        driver.wait(0.05)
        driver.perform(driver.run.handle_frame(victim, frame, driver.now))
    driver.pump()
    return driver


# Guards against an engine that repeats a frame and is never seen as stalled.
@pytest.mark.parametrize(
    'frame_of',
    [
        lambda run: StageOpened('s', 1, run.attempt.stages[1].layers, 0),
        lambda run: StageOutput(
            's', 1, run.attempt.stages[1].layers, 0, ('0',) * 5
        ),
    ],
    ids=['opened', 'output'],
)
def test_a_repeated_frame_is_no_progress(frame_of):
    driver = _repeat_while_frozen('b', frame_of)
    assert driver.delivered == expected_tokens()
    assert driver.outcome == FINISHED


# Guards against outputs that are not the next ones of their stage, in content
# or in order, and reach a caller as tokens.
@pytest.mark.parametrize(
    'changes',
    [
        {'position': 99},
        {'token': None},
        {'stream': 'other'},
        {'attempt': 7},
        {'attempt': 0},
        {'position': 0, 'token': 5},
        {'position': -1, 'token': 5},
    ],
)
def test_an_output_that_is_not_the_next_one_changes_no_token(changes):
    driver, last = _with_step_at_last_stage()
    fields = {
        'stream': 's',
        'attempt': 1,
        'layers': last.layers,
        'position': last.steps[0].position,
        'token': 5,
    }
    bad = StageOutput(**{**fields, **changes})
    for _ in range(2):
        driver.perform(driver.run.handle_frame('c', bad, driver.now))
    driver.wait(0.3)
    assert driver.delivered == expected_tokens()
    assert driver.outcome == FINISHED
