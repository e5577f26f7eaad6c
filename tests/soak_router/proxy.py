"""A loopback proxy that injects faults into the connections it forwards."""

import asyncio

CHUNK_BYTES = 65_536


class Proxy:
    """Forward bytes according to ``mode``.

    ``slow`` delays each chunk, ``drop_replies`` discards what the target
    sends, ``drop_all`` discards both directions, and ``normal`` forwards all.
    """

    def __init__(self, target):
        self.mode = 'normal'
        self.address = ''
        self._target = target
        self._writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self._server = server

    def reset(self):
        """Reset all open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self):
        self._server.close()
        self.reset()

    async def _serve(self, reader, writer):
        host, _, port = self._target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pipe(reader, target_writer, from_target=False),
                self._pipe(target_reader, writer, from_target=True),
            )
        except asyncio.CancelledError:
            # The event loop is stopping.
            return
        self._writers -= pair

    async def _pipe(self, reader, writer, *, from_target):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode == 'slow':
                    await asyncio.sleep(0.15)
                is_dropped = self.mode == 'drop_all' or (
                    from_target and self.mode == 'drop_replies'
                )
                if not is_dropped:
                    writer.write(chunk)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()
