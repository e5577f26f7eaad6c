"""Connections of callers that keep them, over plain sockets.

What a caller sees is recorded as an `Exchange` for each request, with times on
the clock of the event loop.
"""

import asyncio
import socket
from dataclasses import dataclass, field

from tests.soak_router.client import HOST
from tests.soak_router.silent_endpoint import stream_shape

READ_BYTES = 65_536
LOST_ERRORS = (ConnectionError, EOFError)
FIRST_FINAL_STATUS = 200
USUAL_TOKENS = 60


@dataclass(slots=True)
class Exchange:
    """A request, and what its caller saw of the answer.

    ``whole_at`` is when the last byte was handed to the system, and ``ending``
    is ``answered``, or how the connection ended: ``closed``, ``reset``,
    ``late`` (the caller gave up) or ``unconnected``.  A request is
    ``unprocessed`` if an earlier answer on its connection announced the end, and
    ``is_behind_cut`` if an earlier one was broken off.
    """

    request_id: str
    kind: str
    router: str
    method: str
    path: str
    body: bytes = b''
    began_at: float = 0
    whole_at: float | None = None
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b''
    ending: str = ''
    ended_at: float = 0
    is_unprocessed: bool = False
    is_behind_cut: bool = False

    @property
    def announces_close(self):
        return self.headers.get('connection', '').lower() == 'close'

    @property
    def max_tokens(self):
        """Return how many tokens a stream of this request may have at most."""
        _, count = stream_shape(self.request_id)
        return max(count, USUAL_TOKENS)

    def head(self, deadline_ms, *, is_chunked):
        """Return the head of the request."""
        lines = [
            f'{self.method} {self.path} HTTP/1.1',
            f'Host: {HOST}',
            f'Foxtailhatch-Request-Id: {self.request_id}',
            f'Foxtailhatch-Deadline-Ms: {deadline_ms}',
            'Foxtailhatch-Model: m',
            f'Foxtailhatch-Token-Usage: 100,{self.max_tokens}',
            'Authorization: Bearer key',
        ]
        if is_chunked:
            lines.append('Transfer-Encoding: chunked')
        elif self.method == 'POST':
            lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join([*lines, '', '']).encode()


class KeptConnection:
    """One connection, used until an answer announces its end."""

    def __init__(self, sock):
        self.is_usable = True
        self._sock = sock
        self._buffer = bytearray()

    @classmethod
    async def open(cls, address, receive_bytes=None):
        """Connect; a small receive buffer makes the caller a slow reader."""
        host, _, port = address.rpartition(':')
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().sock_connect(
                sock, (host, int(port))
            )
        except OSError:
            sock.close()
            raise
        return cls(sock)

    @property
    def has_ended(self):
        """Return whether the other end has closed an idle connection."""
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    async def send(self, raw):
        await asyncio.get_running_loop().sock_sendall(self._sock, raw)

    def close(self):
        self.is_usable = False
        self._sock.close()

    async def read_answer(self, exchange, rate=None):
        """Read an answer to its end, at ``rate`` bytes a second if given.

        The exchange has its status as soon as the head is there.
        """
        status = 0
        while status < FIRST_FINAL_STATUS:
            head = bytes(await self._read_until(b'\r\n\r\n'))
            first, *lines = head.decode('latin-1').split('\r\n')
            status = int(first.split(' ')[1])
        pairs = (line.partition(':') for line in lines if line)
        exchange.headers = {
            name.lower(): text.strip() for name, _, text in pairs
        }
        exchange.status = status
        if exchange.headers.get('transfer-encoding') == 'chunked':
            await self._read_chunks(exchange)
        else:
            length = int(exchange.headers['content-length'])
            try:
                exchange.answer = await self._read_exactly(length, rate)
            except LOST_ERRORS:
                exchange.answer = bytes(self._buffer)
                raise

    async def _read_chunks(self, exchange):
        while True:
            size = int(bytes(await self._read_until(b'\r\n')), 16)
            chunk = await self._read_exactly(size + 2)
            if not size:
                return
            exchange.answer += chunk[:-2]

    async def _read_until(self, mark):
        while mark not in self._buffer:
            await self._receive(READ_BYTES)
        end = self._buffer.index(mark) + len(mark)
        found = self._buffer[:end]
        del self._buffer[:end]
        return found

    async def _read_exactly(self, count, rate=None):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while len(self._buffer) < count:
            await self._receive(READ_BYTES)
            if rate is not None:
                due_at = began_at + len(self._buffer) / rate
                await asyncio.sleep(max(0, due_at - loop.time()))
        found = bytes(self._buffer[:count])
        del self._buffer[:count]
        return found

    async def _receive(self, count):
        received = await asyncio.get_running_loop().sock_recv(self._sock, count)
        if not received:
            raise EOFError
        self._buffer += received
