"""An HTTP client for calls with a timeout and a buffered response."""

import asyncio
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from foxtailhatch.relay.body_memory import HeldBody
from foxtailhatch.relay.http_connection import (
    HttpConnection,
    ResponseHead,
    TransportFailure,
    open_exchange,
)
from foxtailhatch.relay.response_intake import intake_of

# Limits on the body of a response, as it is buffered: of most calls, and of those
# that return records, which may be a whole configuration in base64.
MAX_RESPONSE_BYTES = 65_536
MAX_RECORDS_BYTES = 8_388_608


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP call; ``target`` is the path with its query.

    A response with a body above ``max_response_bytes`` fails the call.
    """

    method: str
    target: str
    body: bytes = b''
    timeout_s: float = 2.0
    max_response_bytes: int = MAX_RESPONSE_BYTES


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

    def __init__(self, max_bytes: int, held: HeldBody) -> None:
        """Create the future of the response, which counts toward ``held``."""
        loop = asyncio.get_running_loop()
        self.fut: asyncio.Future[Result[HttpResponse, TransportFailure]] = (
            loop.create_future()
        )
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._max_bytes = max_bytes
        self._held = held

    def head_received(self, head: ResponseHead) -> None:
        """Store the status and headers."""
        self._head = head

    def body_received(self, chunk: bytes) -> None:
        """Store a chunk of the body; fail if the body is too long."""
        if self.fut.done():
            return
        size = len(self._body) + len(chunk)
        if size > self._max_bytes or not self._held.resize(size):
            self.response_failed(TransportFailure.MALFORMED)
            return
        self._body += chunk

    def response_completed(self) -> None:
        """Resolve the future with the complete response."""
        if self._head is not None and not self.fut.done():
            response = HttpResponse(self._head, bytes(self._body))
            self.fut.set_result(Success(response))
        self.release()

    def response_failed(self, fault: TransportFailure) -> None:
        """Resolve the future with the transport failure."""
        if not self.fut.done():
            self.fut.set_result(Failure(fault))
        self.release()

    def release(self) -> None:
        """Drop what is buffered."""
        self._body = bytearray()
        self._held.release()


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
        memory = intake_of(self._reactor).memory
        collector = _ResponseCollector(call.max_response_bytes, memory.hold())
        connection, cancel = self._send(_encode(call, self._address), collector)
        try:
            outcome = await asyncio.wait_for(collector.fut, call.timeout_s)
        except TimeoutError:
            is_connected = connection.is_connected
            cancel()
            collector.release()
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
