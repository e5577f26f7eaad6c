from contextlib import ExitStack

import pytest

from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.outside import (
    EngineOrder,
    OpenStage,
    PlatformFault,
    StageOpened,
    StepStage,
)
from foxtailhatch.outside.cache_http import HttpCacheTransfer
from foxtailhatch.outside.engine_http import HttpEngine
from standins.toy_model import reference_answer
from tests.outside.loop import SessionRecorder, run
from tests.outside.standin import LAYERS, client, endpoint, engine, listening

PROMPT = tuple(b'the third strand is dark')
STAGES = (LayerRange(0, 2), LayerRange(2, 4), LayerRange(4, 6))


async def _generate(engines, max_tokens):
    """Generate an answer over all stages, token by token."""
    adapter = HttpEngine(client())
    recorder = [SessionRecorder() for _ in engines]
    sessions = [
        adapter.open_session(endpoint(ports), listener)
        for ports, listener in zip(engines, recorder, strict=True)
    ]
    for session, layers in zip(sessions, STAGES, strict=True):
        session.send(OpenStage('s', 1, 'toy', '1', layers))
    answer = []
    tokens = PROMPT
    position = 0
    for generated in range(max_tokens):
        step = StepStage('s', 1, position, tokens=tokens)
        for session, listener in zip(sessions, recorder, strict=True):
            session.send(step)
            output = (await listener.wait_for_frames(generated + 2))[-1]
            step = StepStage('s', 1, position, (), output.activations)
        position += len(tokens)
        tokens = (output.token,)
        answer.append(output.token)
    for session in sessions:
        session.close()
    return answer


def test_an_answer_over_three_engines_is_the_reference_answer():
    with ExitStack() as stack:
        engines = [
            stack.enter_context(listening(engine((layers.first, layers.end))))
            for layers in STAGES
        ]
        answer = run(_generate(engines, 12))
    assert tuple(answer) == reference_answer('toy', '1', LAYERS, PROMPT, 12)[0]


async def _open(session, recorder, attempt):
    session.send(OpenStage('s', attempt, 'toy', '1', LayerRange(0, 2)))
    return (
        await recorder.wait_until(lambda it: it.frames),
        recorder.frames[-1],
    )[1]


def test_a_later_attempt_on_a_new_session_reuses_the_cache():
    async def scenario(ports):
        adapter = HttpEngine(client())
        first, second = SessionRecorder(), SessionRecorder()
        session = adapter.open_session(endpoint(ports), first)
        await _open(session, first, 1)
        session.send(StepStage('s', 1, 0, tokens=(1, 2, 3)))
        await first.wait_for_frames(2)
        session.close()
        session = adapter.open_session(endpoint(ports), second)
        opened = await _open(session, second, 2)
        session.close()
        return opened

    with listening(engine((0, 2))) as ports:
        opened = run(scenario(ports))
    assert opened == StageOpened('s', 2, LayerRange(0, 2), 3)


def test_a_transferred_cache_needs_no_prefill():
    async def scenario(old, new):
        adapter = HttpEngine(client())
        transfer = HttpCacheTransfer(client())
        recorder = [SessionRecorder(), SessionRecorder()]
        sessions = [
            adapter.open_session(endpoint(ports), listener)
            for ports, listener in zip((old, new), recorder, strict=True)
        ]
        await _open(sessions[0], recorder[0], 1)
        sessions[0].send(StepStage('s', 1, 0, tokens=(1, 2, 3)))
        await recorder[0].wait_for_frames(2)
        cache = (await transfer.export_cache(endpoint(old), 's')).unwrap()
        (await transfer.import_cache(endpoint(new), 's', cache)).unwrap()
        opened = await _open(sessions[1], recorder[1], 2)
        missing = await transfer.export_cache(endpoint(new), 'unknown')
        for session in sessions:
            session.close()
        return opened.cached, missing.failure().fault

    with listening(engine((0, 2))) as old, listening(engine((0, 2))) as new:
        assert run(scenario(old, new)) == (3, PlatformFault.REFUSED)


def test_load_report_shows_the_holdings():
    with listening(engine((0, 2))) as ports:
        report = run(HttpEngine(client()).load_report(endpoint(ports)))
    assert report.unwrap().holdings == (Holding('toy', '1', LayerRange(0, 2)),)


@pytest.mark.parametrize('checks', [True, False])
def test_an_old_fencing_token_is_refused_by_engines_that_check_it(checks):
    async def scenario(ports):
        adapter = HttpEngine(client())
        await adapter.order(endpoint(ports), EngineOrder(2, ()))
        return await adapter.order(endpoint(ports), EngineOrder(1, ()))

    with listening(engine((0, 2), checks_fencing=checks)) as ports:
        outcome = run(scenario(ports))
    refused = outcome.swap().value_or(None)
    assert (refused is not None) == checks
    if checks:
        assert refused.fault is PlatformFault.REFUSED


def test_cache_events_contain_the_blocks_of_a_prompt():
    async def scenario(ports):
        adapter = HttpEngine(client())
        recorder = SessionRecorder()
        session = adapter.open_session(endpoint(ports), recorder)
        session.send(
            OpenStage('s', 1, 'toy', '1', LayerRange(0, 2), prompt=('b0',)),
        )
        session.send(StepStage('s', 1, 0, tokens=PROMPT))
        await recorder.wait_for_frames(2)
        session.close()
        return await adapter.cache_events(endpoint(ports), 0)

    with listening(engine((0, 2))) as ports:
        page = run(scenario(ports)).unwrap()
    assert [event.block for event in page.events] == ['b0']
    assert not page.gap
