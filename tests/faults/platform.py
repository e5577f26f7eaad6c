"""Fakes of the log, the instance list and the services.

Each call runs in the process of its server, over a link with a delay, so
that its effects persist if the caller pauses or dies during the call.
"""

from collections import Counter
from contextvars import copy_context
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from foxtailhatch.outside import PlatformError, PlatformFault, ServiceResponse
from tests.durable.fake_log import FakeLog

START_TIME_S = 1_796_356_800.0
CALL_TIMEOUT_S = 2.0
NO_RESPONSE = Failure(PlatformError(PlatformFault.NO_RESPONSE, 'no answer'))
UNREACHABLE = Failure(PlatformError(PlatformFault.UNREACHABLE, 'refused'))


async def call_server(sim, server, operation, timeout_s=CALL_TIMEOUT_S):
    """Run ``operation`` in the process of the server; return its result.

    Return ``NO_RESPONSE`` after ``timeout_s``, also if ``operation``
    returned ``None`` because its response is lost.
    """
    loop = sim.loop
    caller = copy_context()
    response = loop.create_future()

    def resolve(result):
        if not response.done():
            response.set_result(result)

    def serve():
        result = operation()
        if result is not None:
            sim.transmit(server, resolve, result, context=caller)

    sim.transmit(server, serve, context=loop.context_of(server))
    loop.call_later(timeout_s, resolve, NO_RESPONSE)
    return await response


@dataclass
class FakeLogClient:
    """Log client of one entry."""

    sim: object
    entry: str

    async def append(self, stream, body):
        def apply():
            self.sim.report_point('append', stream, body)
            return _response_or_loss(
                self.store.append(stream, body, self.sim.wall_time())
            )

        return await self._call(apply)

    async def read(self, stream, offset, limit):
        return await self._call(
            lambda: self.store.read(
                stream, offset, self.sim.wall_time(), limit
            ),
        )

    @property
    def store(self) -> FakeLog:
        return self.sim.log

    async def _call(self, operation):
        return await call_server(self.sim, 'log', operation)


def _response_or_loss(result: Result) -> Result | None:
    lost = isinstance(result, Failure)
    if lost and result.failure().fault is PlatformFault.NO_RESPONSE:
        return None
    return result


@dataclass
class FakeInstanceList:
    """Instance list; after ``freeze`` it returns the frozen state."""

    sim: object
    by_name: dict = field(default_factory=dict)
    stale: list | None = None

    def add(self, instance):
        self.by_name[instance.name] = instance

    def mark_leaving(self, name):
        self.by_name[name] = replace(self.by_name[name], leaving=True)

    def clear_leaving(self, name):
        self.by_name[name] = replace(self.by_name[name], leaving=False)

    def freeze(self):
        self.stale = list(self.by_name.values())

    async def instances(self):
        shown = self.stale or list(self.by_name.values())
        return await call_server(
            self.sim, 'instance-list', lambda: Success(shown)
        )


@dataclass
class FakeServiceEndpoint:
    """Service endpoint; drops the next ``responses_to_lose`` responses.

    The calls run even if their response is lost.
    """

    name: str
    checks_key: bool = False
    dead: bool = False
    responses_to_lose: int = 0
    runs: Counter = field(default_factory=Counter)

    def run(self, call):
        if self.checks_key and self.runs[call.key]:
            return Success(ServiceResponse(409, b'seen', 'text/plain'))
        self.runs[call.key] += 1
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return None
        return Success(ServiceResponse(200, call.key.encode(), 'text/plain'))


class FakeWeightStore:
    """Weight store in which each layer has the same size."""

    async def size_bytes(self, model, version):
        return Success(1)


@dataclass
class FakeServiceClient:
    """Service client of one entry."""

    sim: object

    async def call(self, endpoint, call, timeout_s):
        target = self.sim.services[endpoint.name]
        self.sim.service_sends.append((self.sim.loop.time(), endpoint.name))

        def operation():
            if target.dead:
                return UNREACHABLE
            self.sim.report_point('send', endpoint.name, call.key)
            if target.dead:
                return NO_RESPONSE
            result = target.run(call)
            self.sim.report_point('sent', endpoint.name, call.key)
            return NO_RESPONSE if target.dead else result

        return await call_server(self.sim, endpoint.name, operation, timeout_s)
