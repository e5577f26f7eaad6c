"""A minimal asyncio HTTP/1.1 server for stand-ins of the users' platform."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

LOOPBACK = '127.0.0.1'
OK = 200
ACCEPTED = 202
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
PRECONDITION_FAILED = 412
MISDIRECTED = 421
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class MiniRequest:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class MiniResponse:
    """A complete response with a ``Content-Length``."""

    status: int = OK
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the response as HTTP/1.1 bytes."""
        lines = [f'HTTP/1.1 {self.status} X']
        lines.extend(f'{name}: {text}' for name, text in self.headers.items())
        lines.append(f'Content-Length: {len(self.body)}')
        head = '\r\n'.join([*lines, '', ''])
        return head.encode() + self.body


# Raised when the peer disconnects or the event loop shuts down.
_DISCONNECT_ERRORS = (
    ConnectionError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)
Handler = Callable[
    [MiniRequest, asyncio.StreamWriter],
    Awaitable[MiniResponse | None],
]


class MiniServer:
    """HTTP server; a handler returns ``None`` if it wrote a response."""

    def __init__(self, handler: Handler) -> None:
        """Create a server that does not listen yet."""
        self.address = ''
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> str:
        """Listen on a loopback port and return ``host:port``."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{bound_port}'
        return self.address

    def stop(self) -> None:
        """Close the port and abort all connections, like a crash."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            await self._requests(reader, writer)
        except _DISCONNECT_ERRORS:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            req = await _read(reader)
            answer = await self._handler(req, writer)
            if answer is None:
                return
            writer.write(answer.encode())
            await writer.drain()


async def _read(reader: asyncio.StreamReader) -> MiniRequest:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = _headers(lines)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    method, target = first.split(' ')[:2]
    url = urlsplit(target)
    query = dict(parse_qsl(url.query))
    return MiniRequest(method, url.path, query, headers, body)


def _headers(lines: Iterable[str]) -> dict[str, str]:
    pairs = (line.partition(':') for line in lines)
    return {name.lower(): text.strip() for name, colon, text in pairs if colon}
