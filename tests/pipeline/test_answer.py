import pytest

from foxtailhatch.callers import FinishReason
from foxtailhatch.core import (
    Chain,
    ChainStage,
    InvariantViolation,
    LayerRange,
    RunState,
)
from foxtailhatch.outside.frames import CancelStage, StageOutput, StepStage
from foxtailhatch.pipeline import AnswerFinished, AnswerRun
from foxtailhatch.pipeline.attempt import Attempt
from foxtailhatch.pipeline.retained import RetainedInputs
from tests.pipeline.fakes import (
    Driver,
    FixedChains,
    plan,
    reference,
    started,
)

WHOLE = AnswerFinished(FinishReason.LENGTH)


def test_an_answer_equals_what_the_layers_must_produce():
    driver = started()
    driver.pump()
    assert driver.delivered == reference()
    assert driver.outcome == WHOLE


@pytest.mark.parametrize('victim', ['a', 'b', 'c'])
@pytest.mark.parametrize('moment', range(8))
def test_a_stage_that_dies_costs_no_token(victim, moment):
    driver = started()
    driver.pump(until_tokens=moment)
    driver.engines[victim].dead = True
    driver.run._chains.down.add(victim)
    driver.act(driver.run.lost(victim, driver.now))
    driver.pump()
    assert driver.delivered == reference()
    assert driver.outcome == WHOLE


@pytest.mark.parametrize('victim', ['a', 'b', 'c'])
def test_a_stage_that_freezes_is_found_by_its_lack_of_progress(victim):
    driver = started()
    driver.pump(until_tokens=3)
    driver.engines[victim].frozen = True
    driver.pump()
    assert driver.outcome is None
    driver.wait(0.3)
    assert driver.delivered == reference()


def test_only_the_replacement_runs_the_prefix_again():
    driver = started()
    driver.pump(until_tokens=4)
    driver.engines['b'].dead = True
    driver.run._chains.down.add('b')
    driver.act(driver.run.lost('b', driver.now))
    driver.pump()
    again = {
        name: [step for step in engine.steps if step[0] == 2]
        for name, engine in driver.engines.items()
    }
    # 'e' takes the place of 'b' and gets all kept positions at once.
    assert again['e'][0][1:] == (0, 8)
    assert all(position >= 8 for _, position, _ in again['a'] + again['c'])


def test_without_retained_inputs_the_prefix_runs_on_every_stage():
    run = AnswerRun(plan(), FixedChains(), retained_bytes=0)
    driver = Driver(run)
    driver.begin()
    driver.pump(until_tokens=4)
    driver.run._chains.down.add('b')
    driver.act(driver.run.lost('b', driver.now))
    driver.pump()
    assert driver.delivered == reference()
    assert (2, 0, 9) in driver.engines['a'].steps


def test_late_frames_of_an_earlier_attempt_change_nothing():
    driver = started()
    driver.pump(until_tokens=3)
    late = StageOutput('s', 1, LayerRange(4, 6), 7, token=1)
    driver.run._chains.down.add('b')
    driver.act(driver.run.lost('b', driver.now))
    assert driver.run.frame('c', late, driver.now) == []
    driver.pump()
    assert driver.delivered == reference()


def test_doubled_and_reordered_frames_change_nothing():
    driver = started(prompt=tuple(range(300)))
    held = []
    while driver.pending:
        action = driver.pending.popleft()
        replies = driver.engines[action.endpoint].handle(action.frame)
        if isinstance(action.frame, StepStage):
            held += [(action.endpoint, reply) for reply in replies] * 2
        else:
            for reply in replies:
                driver.act(driver.run.frame(action.endpoint, reply, 0))
        if not driver.pending:
            for endpoint, reply in reversed(held):
                driver.act(driver.run.frame(endpoint, reply, 0))
            held = []
    assert driver.delivered == reference(tuple(range(300)))


def test_the_same_endpoint_goes_on_over_a_new_session():
    driver = started()
    driver.pump(until_tokens=3)
    driver.pending.clear()
    driver.act(driver.run.lost('b', driver.now))
    driver.pump()
    assert driver.delivered == reference()
    assert driver.engines['b'].steps[-1][0] == 2
    assert not driver.engines['e'].steps


def test_a_full_stage_is_replaced_before_anything_runs():
    driver = Driver(AnswerRun(plan(), FixedChains()))
    driver.engines['b'].full = True
    driver.begin()
    driver.pump()
    assert driver.delivered == reference()


def test_with_no_free_endpoint_the_request_was_not_run():
    driver = Driver(AnswerRun(plan(), FixedChains(('a',), ('b',), ('c',))))
    driver.engines['b'].full = True
    driver.begin()
    driver.pump()
    assert driver.outcome.refusal.run is RunState.NOT_RUN
    assert not any(engine.steps for engine in driver.engines.values())


def test_an_answer_waits_for_capacity_and_goes_on():
    driver = Driver(AnswerRun(plan(), FixedChains(('a',), ('b',), ('c',))))
    driver.begin()
    driver.pump(until_tokens=3)
    driver.run._chains.down.add('b')
    driver.act(driver.run.lost('b', driver.now))
    driver.pump()
    driver.wait(1)
    assert driver.outcome is None
    driver.run._chains.down.clear()
    driver.wait(1)
    assert driver.delivered == reference()


def test_with_no_capacity_for_long_the_answer_fails_as_run():
    driver = Driver(AnswerRun(plan(), FixedChains(('a',), ('b',), ('c',))))
    driver.begin()
    driver.pump(until_tokens=3)
    driver.run._chains.down.add('b')
    driver.act(driver.run.lost('b', driver.now))
    driver.wait(30)
    assert driver.outcome.refusal.run is RunState.RAN


def test_what_may_not_repeat_is_not_run_again():
    driver = started(repeatable=False)
    driver.pump(until_tokens=3)
    driver.pending.clear()
    driver.act(driver.run.lost('b', driver.now))
    assert driver.outcome.refusal.run in {RunState.RAN, RunState.UNKNOWN}
    frames = [action.frame for action in driver.pending]
    assert frames == [CancelStage('s', 1)] * 3


def test_an_answer_goes_on_after_what_the_caller_received():
    received = tuple(reference()[:5])
    driver = Driver(AnswerRun(plan(received=received), FixedChains()))
    driver.delivered = list(received)
    driver.begin()
    driver.pump()
    assert driver.delivered == reference()


def test_a_paused_answer_asks_for_no_token():
    driver = started()
    driver.pump(until_tokens=2)
    driver.run.pause()
    driver.pump()
    paused_at = len(driver.delivered)
    assert driver.outcome is None
    driver.act(driver.run.resume(driver.now))
    driver.pump()
    assert paused_at <= 3
    assert driver.delivered == reference()


def test_a_cancelled_answer_frees_every_stage():
    driver = started()
    driver.pump(until_tokens=2)
    driver.act(driver.run.cancel())
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
def test_a_stage_that_gives_a_wrong_count_of_outputs_is_replaced(outputs):
    """It broke an invariant, so one faulty engine stopped every entry."""
    driver = started()
    driver.pump(until_tokens=1)
    step = driver.pending.popleft()
    driver.engines[step.endpoint].handle(step.frame)
    position = step.frame.position
    wrong = StageOutput('s', 1, LayerRange(0, 2), position, outputs)
    driver.act(driver.run.frame(step.endpoint, wrong, driver.now))
    driver.pump()
    assert driver.delivered == reference()
    assert driver.run.attempt_number == 2


def test_a_stage_that_answers_what_it_was_not_sent_is_replaced():
    driver = started()
    driver.pump(until_tokens=1)
    wrong = StageOutput('s', 1, LayerRange(4, 6), 99, token=5)
    driver.act(driver.run.frame('c', wrong, driver.now))
    driver.pump()
    assert driver.delivered == reference()
    assert 'f' in {action.endpoint for action in driver.sent}


def test_a_relayed_step_of_another_count_breaks_the_invariant():
    driver = started()
    driver.pump(until_tokens=1)
    step = driver.pending.popleft()
    driver.engines[step.endpoint].handle(step.frame)
    short = StageOutput('s', 1, LayerRange(0, 2), step.frame.position)
    with pytest.raises(InvariantViolation, match='layers_once_in_order'):
        list(driver.run.attempt.output(0, short, driver.now))
