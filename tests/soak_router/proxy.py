"""A loopback proxy that harms the connections it passes on."""

import asyncio

PIECE = 65_536


class Proxy:
    """Pass bytes on, as ``mode`` says.

    ``slow`` delays each piece, ``deaf`` loses what the far end says,
    ``silent`` holds both ways back, and ``plain`` passes all on.
    """

    def __init__(self, target):
        self.mode = 'plain'
        self.address = ''
        self._target = target
        self._writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self._server = server

    def reset(self):
        """Reset all connections that are open now."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self):
        self._server.close()
        self.reset()

    async def _serve(self, reader, writer):
        host, _, port = self._target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pipe(reader, far_writer, is_far=False),
                self._pipe(far_reader, writer, is_far=True),
            )
        except asyncio.CancelledError:
            # The loop ends.
            return
        self._writers -= pair

    async def _pipe(self, reader, writer, *, is_far):
        try:
            while piece := await reader.read(PIECE):
                if self.mode == 'slow':
                    await asyncio.sleep(0.15)
                lost = self.mode == 'silent' or (is_far and self.mode == 'deaf')
                if not lost:
                    writer.write(piece)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()
