"""A small asyncio HTTP/1.1 server for the stand-ins of the users' platform."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

LOOPBACK = '127.0.0.1'
OK = 200
ACCEPTED = 202
NOT_FOUND = 404
CONFLICT = 409
PRECONDITION_FAILED = 412
MISDIRECTED = 421
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class MiniRequest:
    """A request, read whole; header names are lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class MiniResponse:
    """A whole answer."""

    status: int = OK
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        lines = [f'HTTP/1.1 {self.status} X']
        lines.extend(f'{name}: {text}' for name, text in self.headers.items())
        lines.append(f'Content-Length: {len(self.body)}')
        head = '\r\n'.join([*lines, '', ''])
        return head.encode() + self.body


# How a connection ends: by the other side, or with the loop.
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
    """Serve a handler; one that returns ``None`` has written by itself."""

    def __init__(self, handler: Handler) -> None:
        """Serve nothing yet."""
        self.address = ''
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> str:
        """Listen on a loopback port and return the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{bound_port}'
        return self.address

    def stop(self) -> None:
        """Close the port and reset all connections, as a kill does."""
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
