"""An HTTP client for calls with a timeout and a buffered response."""

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

# Limit on the body of a response, as it is buffered: four times what a call to
# the store returns at most.
MAX_BUFFERED_RESPONSE_BYTES = 8_388_608


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP call; ``target`` is the path with its query."""

    method: str
    target: str
    body: bytes = b''
    timeout_s: float = 2.0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    head: ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return self.head.status


class _ResponseCollector:
    """Collect the chunks of one response into a future."""

    def __init__(self) -> None:
        """Create the future of the response."""
        loop = asyncio.get_running_loop()
        self.fut: asyncio.Future[Result[HttpResponse, TransportFailure]] = (
            loop.create_future()
        )
        self._head: ResponseHead | None = None
        self._chunks: list[bytes] = []
        self._received = 0

    def head_received(self, head: ResponseHead) -> None:
        """Store the status and headers."""
        self._head = head

    def body_received(self, chunk: bytes) -> None:
        """Store a chunk of the body; fail if the body is too long."""
        self._received += len(chunk)
        if self._received > MAX_BUFFERED_RESPONSE_BYTES:
            self._chunks.clear()
            self.response_failed(TransportFailure.MALFORMED)
            return
        self._chunks.append(chunk)

    def response_completed(self) -> None:
        """Resolve the future with the complete response."""
        if self._head is not None and not self.fut.done():
            response = HttpResponse(self._head, b''.join(self._chunks))
            self.fut.set_result(Success(response))

    def response_failed(self, fault: TransportFailure) -> None:
        """Resolve the future with the transport failure."""
        if not self.fut.done():
            self.fut.set_result(Failure(fault))


class HttpClient:
    """Make calls to one address over a pool of persistent connections."""

    def __init__(self, reactor: Any, address: str, max_idle: int = 4) -> None:
        """Keep at most ``max_idle`` idle connections."""
        self._reactor = reactor
        self._address = address
        self._max_idle = max_idle
        self._idle: list[HttpConnection] = []

    async def call(
        self, call: HttpCall
    ) -> Result[HttpResponse, TransportFailure]:
        """Make a call; after a timeout no connection from before is reused.

        Connections may go silent all at once, while new ones work.
        """
        collector = _ResponseCollector()
        connection, cancel = self._send(_encode(call, self._address), collector)
        try:
            outcome = await asyncio.wait_for(collector.fut, call.timeout_s)
        except TimeoutError:
            is_connected = connection.is_connected
            cancel()
            self._drop_idle()
            return Failure(
                TransportFailure.TIMEOUT
                if is_connected
                else TransportFailure.UNCONNECTED
            )
        if connection.is_reusable and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            cancel()
        return outcome

    def _drop_idle(self) -> None:
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _send(self, request: bytes, collector: _ResponseCollector) -> Any:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                connection.send(request, collector)
                return connection, connection.abort
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
