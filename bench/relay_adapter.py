"""Minimal relay on top of the engine adapter.

Sessions are shared by all answers, or each answer has its own sessions.
"""

import sys
from typing import Any

from twisted.internet import asyncioreactor

from bench.relay_job import (
    MODEL,
    PROMPT,
    VERSION,
    RelayJob,
    TokenClock,
    stage_layers,
)
from foxtailhatch.core import Address, Endpoint, EndpointKind
from foxtailhatch.outside import (
    DownFrame,
    EngineSession,
    OpenStage,
    StageOutput,
    StepStage,
)
from foxtailhatch.outside.engine_http import HttpEngine
from foxtailhatch.outside.http_client import HttpClient


class _Relay:
    """Listener of all sessions that forwards each output to the next stage."""

    def __init__(self, job: RelayJob, reactor: Any, shared: bool) -> None:
        self.job = job
        self.reactor = reactor
        self.clock = TokenClock(job)
        self.positions = dict.fromkeys(job.streams(), 0)
        engine = HttpEngine(HttpClient(reactor))
        self.sessions: dict[str, list[EngineSession]] = {}
        opened: list[EngineSession] = []
        for stream in job.streams():
            if not (opened and shared):
                opened = [
                    engine.open_session(_endpoint(stage, address), self)
                    for stage, address in enumerate(job.stages)
                ]
            self.sessions[stream] = opened

    def start(self) -> None:
        """Open all stages of all answers and send the prompts."""
        for stream, sessions in self.sessions.items():
            for stage, session in enumerate(sessions):
                layers = stage_layers(stage)
                session.send(OpenStage(stream, 1, MODEL, VERSION, layers))
            sessions[0].send(StepStage(stream, 1, 0, PROMPT))

    def frame_received(self, endpoint: str, frame: DownFrame) -> None:
        """Forward the output of a stage."""
        if not isinstance(frame, StageOutput):
            return
        stream = frame.stream
        if frame.token is None:
            self.sessions[stream][frame.layers.end].send(
                StepStage(stream, 1, frame.position, (), frame.activations),
            )
            return
        self.positions[stream] += 1 if self.positions[stream] else len(PROMPT)
        if self.clock.add_token(stream, frame.token):
            self.sessions[stream][0].send(
                StepStage(stream, 1, self.positions[stream], (frame.token,)),
            )
        elif self.clock.finished():
            self.stop()

    def stop(self) -> None:
        """Close all sessions and end the loop."""
        for sessions in self.sessions.values():
            for session in sessions:
                session.close()
        self.reactor.stop()

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Exit, because a comparison without all stages is meaningless."""
        sys.exit(f'session to {endpoint} lost: {reason}')


def _endpoint(stage: int, address: str) -> Endpoint:
    host, port = address.split(':')
    return Endpoint(
        f'ep-{stage}',
        Address(host, int(port)),
        EndpointKind.ENGINE,
        'thrissur-a',
    )


def main(job: RelayJob, *, shared: bool = True) -> None:
    """Run the job and print its report."""
    asyncioreactor.install()
    from twisted.internet import reactor

    loop: Any = reactor
    relay = _Relay(job, loop, shared)
    relay.start()
    loop.run()
    print(relay.clock.report())
