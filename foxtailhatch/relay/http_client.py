"""Calls that want one whole answer within a time."""

import asyncio
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from foxtailhatch.relay.http_connection import (
    HttpConnection,
    ResponseHead,
    TransportFailure,
    open_exchange,
)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One call to make; ``target`` is the path with its query."""

    method: str
    target: str
    body: bytes = b''
    timeout_s: float = 2.0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer."""

    head: ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.head.status


class _Collector:
    """Collect the pieces of one answer into a future."""

    def __init__(self) -> None:
        """Start without any piece."""
        loop = asyncio.get_running_loop()
        self.fut: asyncio.Future[Result[HttpResponse, TransportFailure]] = (
            loop.create_future()
        )
        self._head: ResponseHead | None = None
        self._pieces: list[bytes] = []

    def head_received(self, head: ResponseHead) -> None:
        """Keep the head."""
        self._head = head

    def body_received(self, piece: bytes) -> None:
        """Keep a piece of the body."""
        self._pieces.append(piece)

    def response_completed(self) -> None:
        """Resolve the future with the answer."""
        if self._head is not None and not self.fut.done():
            whole = HttpResponse(self._head, b''.join(self._pieces))
            self.fut.set_result(Success(whole))

    def response_failed(self, loss: TransportFailure) -> None:
        """Resolve the future with the failure."""
        if not self.fut.done():
            self.fut.set_result(Failure(loss))


class HttpClient:
    """Make calls to one address, over connections that are kept open."""

    def __init__(self, reactor: Any, address: str, kept: int = 4) -> None:
        """Keep at most ``kept`` free connections."""
        self._reactor = reactor
        self._address = address
        self._kept = kept
        self._free: list[HttpConnection] = []

    async def call(
        self, call: HttpCall
    ) -> Result[HttpResponse, TransportFailure]:
        """Make a call; a connection that timed out is not used again."""
        collector = _Collector()
        connection, cancel = self._send(_encode(call, self._address), collector)
        try:
            outcome = await asyncio.wait_for(collector.fut, call.timeout_s)
        except TimeoutError:
            cancel()
            return Failure(TransportFailure.TIMEOUT)
        if connection.is_reusable and len(self._free) < self._kept:
            self._free.append(connection)
        else:
            cancel()
        return outcome

    def _send(self, request: bytes, collector: _Collector) -> Any:
        while self._free:
            connection = self._free.pop()
            if connection.is_reusable:
                connection.send(request, collector)
                return connection, connection.drop
        connection = HttpConnection(request, collector)
        exchange = open_exchange(
            self._reactor,
            self._address,
            connection,
            collector.response_failed,
        )
        return connection, exchange.cancel


def _encode(call: HttpCall, host: str) -> bytes:
    lines = [f'{call.method} {call.target} HTTP/1.1', f'Host: {host}']
    if call.body or call.method == 'POST':
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(call.body)}')
    head = '\r\n'.join((*lines, '', ''))
    return head.encode() + call.body
