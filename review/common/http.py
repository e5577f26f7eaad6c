"""A small HTTP/1.1 server and client for stand-ins, over asyncio."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A request as it was read; header names are in lower case."""

    method: str
    target: str
    path: str
    query: dict
    headers: dict
    body: bytes


@dataclass
class Reply:
    """A reply with a length."""

    status: int = 200
    body: bytes = b''
    headers: dict = field(default_factory=dict)

    def encode(self):
        lines = [f'HTTP/1.1 {self.status} X']
        lines += [f'{name}: {text}' for name, text in self.headers.items()]
        lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join([*lines, '', '']).encode() + self.body


class Server:
    """Serve ``handler(request, writer)``; ``None`` means it wrote the reply.

    ``gate()`` returns how to treat a call now: ``up``, ``silent`` (nothing is
    sent on this channel any more) or ``reset``.
    """

    def __init__(self, handler, gate=lambda: 'up'):
        self.address = ''
        self._handler = handler
        self._gate = gate
        self._server = None
        self._writers = set()

    async def start(self, host='127.0.0.1', port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self.address

    def stop(self):
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self):
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if self._gate() == 'up':
                    reply = await self._handler(request, writer)
                    if reply is None:
                        return
                if self._gate() == 'silent':
                    await asyncio.sleep(3600)
                if self._gate() != 'up':
                    writer.transport.abort()
                    return
                writer.write(reply.encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, UnboundLocalError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    method, target, _ = first.split(' ')
    url = urlsplit(target)
    query = dict(parse_qsl(url.query))
    return Request(method, target, url.path, query, headers, body)


@dataclass
class Answer:
    """What a client saw; ``status`` is ``None`` if there was no head."""

    status: int | None = None
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    why: str = ''


async def ask(address, method, path, headers, body=b'', limit_s=5.0):
    """Send a request on a new channel, and read the answer to its end."""
    answer = Answer()
    try:
        await asyncio.wait_for(
            _ask(address, method, path, headers, body, answer), limit_s
        )
    except TimeoutError:
        answer.why = 'time limit'
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.why = type(exc).__name__
    return answer


async def _ask(address, method, path, headers, body, answer):
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, int(port)), 1.0
    )
    try:
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await read_answer(reader, answer)
    finally:
        writer.close()


async def read_answer(reader, answer):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    answer.headers = {name.lower(): text.strip() for name, _, text in pairs}
    answer.status = int(first.split(' ')[1])
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            chunk = await reader.readexactly(size + 2)
            answer.body += chunk[:size]
            if not size:
                break
    else:
        length = int(answer.headers.get('content-length', 0))
        answer.body = await reader.readexactly(length)
    answer.is_whole = True
