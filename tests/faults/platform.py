"""Fakes of the log, the instance list and the plain services.

Each call crosses a link to the platform's own process and back, so that a
caller that pauses or dies meanwhile does not undo what landed.
"""

from collections import Counter
from contextvars import copy_context
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from foxtailhatch.outside import PlatformError, PlatformFault, ServiceResponse
from tests.durable.fake_log import FakeLog

START = 1_796_356_800.0
CALL_TIMEOUT_S = 2.0
NO_RESPONSE = Failure(PlatformError(PlatformFault.NO_RESPONSE, 'no answer'))
UNREACHABLE = Failure(PlatformError(PlatformFault.UNREACHABLE, 'refused'))


async def exchange(world, server, work, limit_s=CALL_TIMEOUT_S):
    """Have ``work`` done in the server's process; its result comes back.

    ``work`` returns ``None`` when its answer is lost.
    """
    loop = world.loop
    caller = copy_context()
    answered = loop.create_future()

    def settle(told):
        if not answered.done():
            answered.set_result(told)

    def serve():
        told = work()
        if told is not None:
            world.carry(server, settle, told, context=caller)

    world.carry(server, serve, context=loop.context_of(server))
    loop.call_later(limit_s, settle, NO_RESPONSE)
    return await answered


@dataclass
class Log:
    """The log service as one entry reaches it."""

    world: object
    entry: str

    async def append(self, stream, body):
        def land():
            self.world.reached('append', stream, body)
            return _answer(self.kept.append(stream, body, self.world.wall()))

        return await self._call(land)

    async def read(self, stream, offset, limit):
        return await self._call(
            lambda: self.kept.read(stream, offset, self.world.wall(), limit),
        )

    @property
    def kept(self) -> FakeLog:
        return self.world.log

    async def _call(self, work):
        return await exchange(self.world, 'log', work)


def _answer(result: Result) -> Result | None:
    lost = isinstance(result, Failure)
    if lost and result.failure().fault is PlatformFault.NO_RESPONSE:
        return None
    return result


@dataclass
class Instances:
    """The live-instance list; while stale it shows what it showed then."""

    world: object
    lines: dict = field(default_factory=dict)
    stale: list | None = None

    def show(self, line):
        self.lines[line.name] = line

    def show_leaving(self, name):
        self.lines[name] = replace(self.lines[name], leaving=True)

    def show_back(self, name):
        self.lines[name] = replace(self.lines[name], leaving=False)

    def freeze(self):
        self.stale = list(self.lines.values())

    async def instances(self):
        shown = self.stale or list(self.lines.values())
        return await exchange(
            self.world, 'instance-list', lambda: Success(shown)
        )


@dataclass
class PlainEndpoint:
    """One endpoint of a service; ``lose_answers`` are lost after the run."""

    name: str
    checks_key: bool = False
    dead: bool = False
    lose_answers: int = 0
    runs: Counter = field(default_factory=Counter)

    def run(self, call):
        if self.checks_key and self.runs[call.key]:
            return Success(ServiceResponse(409, b'seen', 'text/plain'))
        self.runs[call.key] += 1
        if self.lose_answers:
            self.lose_answers -= 1
            return None
        return Success(ServiceResponse(200, call.key.encode(), 'text/plain'))


class Weights:
    """The weight store; every layer has the same size."""

    async def size_bytes(self, model, version):
        return Success(1)


@dataclass
class Services:
    """The plain services as an entry reaches them."""

    world: object

    async def call(self, endpoint, call, timeout_s):
        target = self.world.services[endpoint.name]
        self.world.sends.append((self.world.loop.time(), endpoint.name))

        def work():
            if target.dead:
                return UNREACHABLE
            self.world.reached('send', endpoint.name, call.key)
            if target.dead:
                return NO_RESPONSE
            told = target.run(call)
            self.world.reached('sent', endpoint.name, call.key)
            return NO_RESPONSE if target.dead else told

        return await exchange(self.world, endpoint.name, work, timeout_s)
