"""Probes of the endpoints of streams that pause together."""

import asyncio
from random import Random
from types import SimpleNamespace

from returns.result import Failure, Success

from foxtailhatch.placement.protocols import EngineFault, OrderOutcome
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.router.group_stall_detector import (
    FIRST_EVENT_PAUSE_S,
    GROUP_PAUSE_S,
    MIN_GROUP_STREAMS,
    PROBE_INTERVAL_S,
    SMALL_GROUP_PAUSE_S,
    GroupStallDetector,
)
from foxtailhatch.router.reach_prober import ReachProber, ReachRecorder
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryEngines, board

ENDPOINTS = [endpoint(name, 'model') for name in ('e1', 'e2', 'e3')]


class Stream(SimpleNamespace):
    __hash__ = object.__hash__


def stream(last_progress_at=0.0, parts=ENDPOINTS, started=True):
    chosen = tuple(SimpleNamespace(endpoint=part) for part in parts)
    return Stream(
        attempt=SimpleNamespace(chosen=chosen),
        is_started=started,
        last_progress_at=last_progress_at,
    )


class DetectorSetup:
    """A detector, its engines and the endpoints that it reported."""

    def __init__(self, *silent):
        self.engines = MemoryEngines()
        self.probed = 0
        for name in silent:
            self.engines.outcomes[name] = OrderOutcome.NO_ANSWER
        self.reported = []
        self.log = ListLog()
        self.board = board(Clock())
        for one in (*ENDPOINTS, endpoint('e4', 'model')):
            self.board.endpoints.put(one, 0)
        recorder = ReachRecorder(self.engines, self.board)
        self.detector = GroupStallDetector(
            recorder,
            lambda one, why: self.reported.append(one.name),
            self.log,
            lambda _: 0,
            ReachProber(self.board, recorder, self.log, Random(1)).has_witness,
        )

    def check(self, streams, now):
        self.board.clock.now = now
        asyncio.run(self.detector.check(streams, now))


def test_unresponsive_endpoint_of_a_paused_group_is_reported():
    setup = DetectorSetup('e2')
    setup.check([stream() for _ in range(MIN_GROUP_STREAMS)], 2 * GROUP_PAUSE_S)
    assert setup.reported == ['e2']


def test_group_with_progress_is_not_probed():
    setup = DetectorSetup('e2')
    streams = [stream() for _ in range(MIN_GROUP_STREAMS)]
    streams.append(stream(last_progress_at=GROUP_PAUSE_S))
    setup.check(streams, 1.5 * GROUP_PAUSE_S)
    assert setup.reported == []


def test_single_stream_must_pause_for_longer():
    """With many entries sharing the traffic, each has few streams per chain."""
    setup = DetectorSetup('e2')
    between = (GROUP_PAUSE_S + SMALL_GROUP_PAUSE_S) / 2
    setup.check([stream()], between)
    assert setup.reported == []
    setup.check([stream()], 1.01 * SMALL_GROUP_PAUSE_S)
    assert setup.reported == ['e2']


def test_chain_is_probed_after_a_long_wait_for_the_first_event():
    setup = DetectorSetup('e2')
    waiting = [stream(started=False)]
    setup.check(waiting, 0.9 * FIRST_EVENT_PAUSE_S)
    assert setup.reported == []
    setup.check(waiting, 1.1 * FIRST_EVENT_PAUSE_S)
    assert setup.reported == ['e2']


def test_new_request_does_not_hide_a_pause_of_other_streams():
    setup = DetectorSetup('e2')
    now = 1.0
    streams = [stream(), stream(now - 0.01, started=False)]
    setup.check(streams, now)
    assert setup.reported == ['e2']


def test_slow_engine_is_not_reported():
    """Its report misses the timeout of the first probe, not of the second."""
    setup = DetectorSetup()
    answers = iter([False, True])

    async def report(one, timeout_s):
        if one.name != 'e2' or next(answers):
            return Success(EngineReport())
        return Failure(EngineFault.NO_RESPONSE)

    setup.engines.report = report
    setup.check([stream() for _ in range(MIN_GROUP_STREAMS)], 1.0)
    assert setup.reported == []
    assert setup.log.of('slow')[0]['endpoints'] == ['e2']


def test_endpoint_shared_by_chains_is_probed_once_per_interval():
    """With slow engines, all streams pause, over many different chains."""
    setup = DetectorSetup()
    probed = []

    async def report(one, timeout_s):
        probed.append(one.name)
        return Success(EngineReport())

    setup.engines.report = report
    setup.check([stream()], 1.0)
    setup.check([stream(parts=ENDPOINTS[::-1])], 1.1)
    assert sorted(probed) == ['e1', 'e2', 'e3']


def test_no_endpoint_is_reported_if_most_do_not_respond():
    setup = DetectorSetup('e1', 'e2')
    setup.check([stream() for _ in range(MIN_GROUP_STREAMS)], 1.0)
    assert setup.reported == []
    assert setup.log.of('most_endpoints_unresponsive')


def test_endpoints_are_not_probed_again_within_the_interval():
    setup = DetectorSetup('e2')
    streams = [stream() for _ in range(MIN_GROUP_STREAMS)]
    setup.check(streams, 1.0)
    setup.check(streams, 1.0 + PROBE_INTERVAL_S / 2)
    assert setup.reported == ['e2']
    setup.check(streams, 1.0 + PROBE_INTERVAL_S)
    assert setup.reported == ['e2', 'e2']


def test_streams_over_other_endpoints_form_another_group():
    setup = DetectorSetup('e2')
    others = [stream(parts=ENDPOINTS[:1]) for _ in range(MIN_GROUP_STREAMS)]
    setup.check(others, 1.0)
    assert setup.reported == []
