"""HTTP client that judges a response by its own socket alone."""

import asyncio
from dataclasses import dataclass

HOST = 'host.example'


@dataclass(frozen=True, slots=True)
class Response:
    """A response, perhaps incomplete; ``status`` is ``None`` if there is none."""

    status: int | None
    body: bytes = b''
    is_whole: bool = False


async def send_request(
    address, request_id, path, method='GET', key='key', wait_s=12.0, parts=()
):
    """Send a request on a new connection, and read the response to its end."""
    try:
        return await asyncio.wait_for(
            _exchange(address, request_id, path, method, key, parts),
            wait_s,
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Response(None)


async def _exchange(address, request_id, path, method, key, parts):
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Foxtailhatch-Request-Id: {request_id}',
        'Foxtailhatch-Deadline-Ms: 10000',
        'Foxtailhatch-Model: m',
        'Foxtailhatch-Token-Usage: 100,60',
        f'Authorization: Bearer {key}',
        'Connection: close',
    ]
    if parts:
        listed = ','.join(f'{part}:40' for part in parts)
        lines.append(f'Foxtailhatch-Prefix-Hash: {listed}')
    if method == 'POST':
        lines.append('Content-Length: 0')
    writer.write('\r\n'.join([*lines, '', '']).encode())
    try:
        return await _read_response(reader)
    finally:
        writer.close()


async def _read_response(reader):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(None)
    status = int(head.split(b' ', 2)[1])
    lowered = head.lower()
    if b'transfer-encoding: chunked' in lowered:
        return await _read_chunked(reader, status)
    length = int(lowered.partition(b'content-length: ')[2].split(b'\r\n')[0])
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(status)
    return Response(status, body, is_whole=True)


async def _read_chunked(reader, status):
    body = b''
    try:
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return Response(status, body, is_whole=True)
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(status, body)
