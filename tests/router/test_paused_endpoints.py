"""Nothing is sent to an endpoint that asked this entry for a pause."""

import asyncio
from random import Random

import pytest
from returns.result import Success

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.protocols import (
    EngineFault,
    OrderOutcome,
    Reroute,
)
from foxtailhatch.relay.context import SelectionRequest
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.reach_prober import ReachRecorder, is_alive
from tests.fleet.endpoints import endpoint
from tests.router.fakes import MemoryEngines, board
from tests.router.test_admission import request
from tests.routes.configurations import PLAIN


class CountingEngines(MemoryEngines):
    """Count what is sent to engines."""

    def __init__(self):
        super().__init__()
        self.sent = []

    async def report(self, target, timeout_s=0.4):
        self.sent.append(target.name)
        return await super().report(target, timeout_s)

    async def place(self, target, layers, fence, expected_orders):
        self.sent.append(target.name)
        return await super().place(target, layers, fence, expected_orders)

    async def reroute(self, head, reroute):
        self.sent.append(head.name)
        return await super().reroute(head, reroute)


@pytest.fixture
def env():
    blackboard = board()
    for name in ('e1', 'e2'):
        blackboard.endpoints.put(endpoint(name), 100)
    return blackboard


def test_paused_endpoint_is_not_selected(env):
    selector = LoadAwareSelector(env, Random(1))
    selection = SelectionRequest(PLAIN, request())
    env.endpoints.pauses.record(endpoint('e1'), 2, 100)
    for _ in range(20):
        (stage,) = selector.select(selection, 101)
        assert stage.endpoint.name == 'e2'
    env.endpoints.pauses.record(endpoint('e2'), 2, 100)
    assert selector.select(selection, 101) is None
    assert selector.select(selection, 102) is not None


def test_retry_avoids_endpoints_that_return_from_a_pause(env):
    """They may ask for the next pause, and the request has no third attempt."""
    env.endpoints.put(endpoint('e3'), 100)
    selector = LoadAwareSelector(env, Random(1))
    env.endpoints.pauses.record(endpoint('e2'), 0.5, 100)
    first = SelectionRequest(PLAIN, request())
    retry = SelectionRequest(PLAIN, request(), exclude=frozenset(('e1',)))
    chosen = {selector.select(first, 101)[0].endpoint.name for _ in range(20)}
    assert chosen == {'e1', 'e2', 'e3'}
    chosen = {selector.select(retry, 101)[0].endpoint.name for _ in range(20)}
    assert chosen == {'e3'}
    rest = SelectionRequest(PLAIN, request(), exclude=frozenset(('e1', 'e3')))
    assert selector.select(rest, 101)[0].endpoint.name == 'e2'
    env.endpoints.pauses.record_answers([endpoint('e2')], 101)
    chosen = {selector.select(retry, 101)[0].endpoint.name for _ in range(20)}
    assert chosen == {'e2', 'e3'}


def test_paused_engine_gets_no_report_order_or_reroute(env):
    engines = CountingEngines()
    recorder = ReachRecorder(engines, env)
    one = env.endpoints.get('e1')
    env.endpoints.pauses.record(one, 2, 100)
    report = asyncio.run(recorder.report(one))
    placed = asyncio.run(recorder.place(one, LayerRange(0, 4), 1, 0))
    moved = asyncio.run(recorder.reroute(one, Reroute('id-1', ())))
    assert engines.sent == []
    assert report.failure() is EngineFault.PAUSED
    assert placed is moved.outcome is OrderOutcome.REFUSED
    # It has answered, so it lives, but says nothing of the reach of this entry.
    assert is_alive(one, report)
    env.clock.now = 102
    assert isinstance(asyncio.run(recorder.report(one)), Success)
