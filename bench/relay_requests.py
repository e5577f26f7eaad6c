"""Alternative relay that sends one HTTP request per step and stage."""

import asyncio
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
from foxtailhatch.core import Address
from foxtailhatch.outside import (
    DownFrame,
    OpenStage,
    StageOutput,
    StepStage,
    UpFrame,
)
from foxtailhatch.outside.frames_json import decode_down, encode_frame
from foxtailhatch.outside.http_client import HttpCall, HttpClient


class _Relay:
    """Relay that sends every frame as a request and awaits the response."""

    def __init__(self, job: RelayJob, client: HttpClient) -> None:
        self.clock = TokenClock(job)
        self.client = client
        self.addresses = list(map(_address, job.stages))

    async def send_frame(self, stage: int, frame: UpFrame) -> DownFrame:
        """Send a frame and return the frame of the response."""
        call = HttpCall('POST', '/frames', encode_frame(frame))
        response = await self.client.send(self.addresses[stage], call)
        return decode_down(response.unwrap().body).unwrap()

    async def generate(self, stream: str) -> None:
        """Generate one complete answer."""
        await asyncio.gather(
            *(
                self.send_frame(
                    stage,
                    OpenStage(stream, 1, MODEL, VERSION, stage_layers(stage)),
                )
                for stage, _ in enumerate(self.addresses)
            ),
        )
        step_tokens, position = PROMPT, 0
        unfinished = True
        while unfinished:
            token = await self.token(stream, position, step_tokens)
            position += len(step_tokens)
            step_tokens = (token,)
            unfinished = self.clock.add_token(stream, token)

    async def token(self, stream: str, position: int, step_tokens: Any) -> int:
        """Run one step through all stages and return its token."""
        step = StepStage(stream, 1, position, step_tokens)
        stage = 0
        while True:
            output = await self.send_frame(stage, step)
            assert isinstance(output, StageOutput)
            if output.token is not None:
                return output.token
            step = StepStage(stream, 1, position, (), output.activations)
            stage += 1


def _address(text: str) -> Address:
    host, port = text.split(':')
    return Address(host, int(port))


async def _run(job: RelayJob, reactor: Any) -> None:
    relay = _Relay(job, HttpClient(reactor))
    await asyncio.gather(*map(relay.generate, job.streams()))
    print(relay.clock.report())
    reactor.stop()


def main(job: RelayJob) -> None:
    """Run the job and print its report."""
    asyncioreactor.install()
    from twisted.internet import reactor

    loop: Any = reactor
    task = loop._asyncioEventloop.create_task(_run(job, reactor))
    loop.run()
    task.result()
