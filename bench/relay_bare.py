"""Baseline relay on asyncio sockets and json, without any validation.

It implements the wire format of the engines directly and keeps only a line
buffer per stage: a lower bound of the processor time of a Python relay.
"""

import asyncio
import json
from functools import partial
from typing import Any

from bench.relay_job import (
    MODEL,
    PROMPT,
    VERSION,
    RelayJob,
    TokenClock,
    stage_layers,
)

UP_HEAD = (
    b'POST /sessions/bare/up HTTP/1.1\r\nHost: engine\r\n'
    b'X-Session: bare\r\nTransfer-Encoding: chunked\r\n\r\n'
)
DOWN_HEAD = b'GET /sessions/bare/down HTTP/1.1\r\nHost: engine\r\n\r\n'


class _Connection(asyncio.Protocol):
    """HTTP connection that decodes received chunks into lines."""

    def __init__(self, on_lines: Any) -> None:
        self.on_lines = on_lines
        self.transport: Any = None
        self.buffer = b''
        self.partial_line = b''
        self.in_body = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, chunk: bytes) -> None:
        self.buffer += chunk
        if not self.in_body:
            head, end, rest = self.buffer.partition(b'\r\n\r\n')
            if not end:
                return
            self.in_body = True
            self.buffer = rest
        body = self._body()
        if body:
            lines = (self.partial_line + body).split(b'\n')
            self.partial_line = lines.pop()
            self.on_lines(lines)

    def _body(self) -> bytes:
        """Remove all complete chunks from the buffer and return their bytes."""
        buffer = self.buffer
        chunks = []
        at = 0
        while True:
            line_end = buffer.find(b'\r\n', at)
            if line_end < 0:
                break
            end = line_end + 2 + int(buffer[at:line_end], 16)
            if len(buffer) < end + 2:
                break
            chunks.append(buffer[line_end + 2 : end])
            at = end + 2
        self.buffer = buffer[at:]
        return b''.join(chunks)


async def _connect(address: str, head: bytes, on_lines: Any) -> Any:
    """Open a connection and send the request head."""
    host, port = address.split(':')
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(
        lambda: _Connection(on_lines),
        host,
        int(port),
    )
    transport.write(head)
    return transport


class _Relay:
    """Forward the output of each stage to the next stage."""

    def __init__(self, job: RelayJob, done: 'asyncio.Future[None]') -> None:
        self.job = job
        self.clock = TokenClock(job)
        self.done = done
        self.upstreams: Any = []
        self.pending: list[list[bytes]] = [[] for _ in job.stages]
        self.positions = dict.fromkeys(job.streams(), 0)

    async def open(self) -> None:
        """Open both connections of every stage."""
        self.upstreams = await asyncio.gather(
            *(
                _connect(address, UP_HEAD, lambda lines: None)
                for address in self.job.stages
            ),
        )
        await asyncio.gather(
            *(
                _connect(address, DOWN_HEAD, partial(self.received, stage))
                for stage, address in enumerate(self.job.stages)
            ),
        )

    def start(self) -> None:
        """Open all stages of all answers and send the prompts."""
        for stream in self.job.streams():
            for stage, _ in enumerate(self.upstreams):
                layers = stage_layers(stage)
                self.send(
                    stage,
                    {
                        'kind': 'open',
                        'stream': stream,
                        'attempt': 1,
                        'model': MODEL,
                        'version': VERSION,
                        'layers': {'first': layers.first, 'end': layers.end},
                    },
                )
            self.step(0, stream, tokens=PROMPT)

    def step(self, stage: int, stream: str, **fields: Any) -> None:
        """Send one step to a stage."""
        self.send(
            stage,
            {
                'kind': 'step',
                'stream': stream,
                'attempt': 1,
                'position': self.positions[stream],
                **fields,
            },
        )

    def send(self, stage: int, frame: dict[str, Any]) -> None:
        """Queue a line; lines queued in one loop iteration share one write."""
        lines = self.pending[stage]
        if not lines:
            asyncio.get_running_loop().call_soon(self.flush, stage)
        lines.append(b'%b\n' % json.dumps(frame).encode())

    def flush(self, stage: int) -> None:
        """Write the queued lines of a stage as one chunk."""
        lines = b''.join(self.pending[stage])
        self.pending[stage].clear()
        self.upstreams[stage].write(b'%x\r\n%b\r\n' % (len(lines), lines))

    def received(self, stage: int, lines: list[bytes]) -> None:
        """Forward the outputs of a stage."""
        for line in lines:
            frame = json.loads(line)
            if frame['kind'] != 'output':
                continue
            stream = frame['stream']
            if frame['token'] is None:
                self.step(stage + 1, stream, activations=frame['activations'])
            else:
                self.next_token(stream, frame['token'])

    def next_token(self, stream: str, token: int) -> None:
        """Record a token and request the next one."""
        self.positions[stream] += 1 if self.positions[stream] else len(PROMPT)
        if self.clock.add_token(stream, token):
            self.step(0, stream, tokens=[token])
        elif self.clock.finished():
            self.done.set_result(None)


async def _run(job: RelayJob) -> None:
    relay = _Relay(job, asyncio.get_running_loop().create_future())
    await relay.open()
    relay.start()
    await relay.done
    print(relay.clock.report())


def main(job: RelayJob) -> None:
    """Run the job and print its report."""
    asyncio.run(_run(job))
