"""Callers that use their connections for as long as the protocol allows.

Each client keeps to one habit: a connection for each request (``simple``), a
connection for many (``kept``), two requests at once on a connection
(``pipelined``), bodies that are sent slowly (``bodies``) and answers that are
read slowly (``readers``).
"""

import asyncio
from collections import Counter

from tests.soak_router.kept_connection import (
    LOST_ERRORS,
    Exchange,
    KeptConnection,
)

HABITS = ('simple', 'kept', 'pipelined', 'bodies', 'readers')
DEADLINE_S = 20.0
# A caller waits for this long beyond the time limit that it has named.
EXTRA_WAIT_S = 1.0
MS_IN_S = 1000
SMALL_RECEIVE_BYTES = 4096
LEAVE_SHARE = 0.03
SIZES = (10, 2_000, 100_000)
STREAM_SHAPES = ('30x20', '60x30', '90x40')
BODY_BYTES = (100_000, 1_000_000)
BODY_S = (0.5, 4.0)
BODY_PIECES = 40
READ_BYTES = (500_000, 8_000_000)
READ_S = (1.0, 6.0)


class PlannedClients:
    """Clients of all habits; what each request came to is in ``exchanges``."""

    def __init__(self, world, random, habits=HABITS):
        self.exchanges = []
        self.is_stopping = False
        self._world = world
        self._random = random
        self._habits = habits
        self._counts = Counter()

    async def run(self, count):
        """Run that many clients until ``is_stopping``."""
        await asyncio.gather(
            *(
                self._client(self._habits[index % len(self._habits)])
                for index in range(count)
            )
        )

    async def use_around_stop(self, router, offset_s):
        """Send at this time, seen from the stop of a router, on a connection.

        The connection is older than the stop.
        """
        loop = asyncio.get_running_loop()
        due_at = loop.time() + self._world.stop_lead_s + offset_s
        habit = self._random.choice(self._habits)
        conn = await self._open(router, habit)
        if conn is None:
            return
        await self._exchange(conn, router, 'kept')
        await asyncio.sleep(max(0, due_at - loop.time()))
        if conn.is_usable:
            await self._exchange(conn, router, habit)
        conn.close()

    async def _client(self, habit):
        while not self.is_stopping:
            router = self._random.choice(self._world.routers)
            conn = await self._open(router, habit)
            while conn is not None and conn.is_usable:
                await self._exchange(conn, router, habit)
                leaves = self._random.random() < LEAVE_SHARE
                if habit == 'simple' or leaves or self.is_stopping:
                    conn.close()
                await asyncio.sleep(self._random.uniform(0, 0.3))
            await asyncio.sleep(self._random.uniform(0, 0.2))

    async def _open(self, router, habit):
        size = SMALL_RECEIVE_BYTES if habit == 'readers' else None
        try:
            return await KeptConnection.open(router.address, size)
        except OSError:
            self._counts['unconnected'] += 1
            return None

    async def _exchange(self, conn, router, habit):
        """Send the requests of a habit, and read what comes to the end."""
        if conn.has_ended:
            conn.close()
            return
        rate = None
        if habit == 'bodies':
            batch = [self._write_request(router, self._body())]
        elif habit == 'readers':
            size = self._random.randint(*READ_BYTES)
            rate = size / self._random.uniform(*READ_S)
            batch = [self._read_request(router, size)]
        else:
            count = 2 if habit == 'pipelined' else 1
            batch = [self._request(router) for _ in range(count)]
        self.exchanges.extend(batch)
        sending = asyncio.ensure_future(self._send(conn, batch, habit))
        try:
            await self._read_answers(conn, batch, rate)
        finally:
            if not sending.done():
                # What is not sent by now has been answered or lost.
                sending.cancel()
                conn.close()
            await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, conn, batch, habit):
        loop = asyncio.get_running_loop()
        deadline_ms = int(DEADLINE_S * MS_IN_S)
        is_chunked = habit == 'bodies' and self._random.random() < 0.5
        for exchange in batch:
            exchange.began_at = loop.time()
        try:
            if habit == 'bodies':
                await self._send_slowly(conn, batch[0], is_chunked)
            else:
                await conn.send(
                    b''.join(
                        exchange.head(deadline_ms, is_chunked=False)
                        + exchange.body
                        for exchange in batch
                    )
                )
        except ConnectionError:
            # The reader of the answer finds out what happened.
            return
        for exchange in batch:
            exchange.whole_at = loop.time()

    async def _send_slowly(self, conn, exchange, is_chunked):
        deadline_ms = int(DEADLINE_S * MS_IN_S)
        await conn.send(exchange.head(deadline_ms, is_chunked=is_chunked))
        pause_s = self._random.uniform(*BODY_S) / BODY_PIECES
        size = len(exchange.body) // BODY_PIECES + 1
        for start in range(0, len(exchange.body), size):
            piece = exchange.body[start : start + size]
            if is_chunked:
                piece = b'%x\r\n%s\r\n' % (len(piece), piece)
            await conn.send(piece)
            await asyncio.sleep(pause_s)
        if is_chunked:
            await conn.send(b'0\r\n\r\n')

    async def _read_answers(self, conn, batch, rate):
        loop = asyncio.get_running_loop()
        ending = ''
        is_unprocessed = False
        is_cut = False
        for exchange in batch:
            exchange.is_behind_cut = is_cut
            if not ending:
                ending = await self._read_answer(conn, exchange, rate)
                is_cut = bool(ending) and exchange.status is not None
            exchange.ending = ending or 'answered'
            exchange.is_unprocessed = is_unprocessed
            exchange.ended_at = loop.time()
            if exchange.announces_close and not ending:
                ending, is_unprocessed = 'closed', True
        if ending:
            conn.close()

    async def _read_answer(self, conn, exchange, rate):
        try:
            await asyncio.wait_for(
                conn.read_answer(exchange, rate), DEADLINE_S + EXTRA_WAIT_S
            )
        except TimeoutError:
            return 'late'
        except LOST_ERRORS as exc:
            return 'closed' if isinstance(exc, EOFError) else 'reset'
        return ''

    def _request(self, router):
        kind = self._random.choice(('m', 'once', 'read'))
        if kind == 'once':
            return self._write_request(router, b'')
        if kind == 'read':
            return self._read_request(router, self._random.choice(SIZES))
        shape = self._random.choice(STREAM_SHAPES)
        return self._make(router, f'-s{shape}ms', 'm', 'GET', '/m/x')

    def _read_request(self, router, size):
        work_ms = self._random.randint(0, 300)
        return self._make(router, '', 'read', 'GET', f'/read/{size}/{work_ms}')

    def _write_request(self, router, body):
        work_ms = self._random.randint(0, 600)
        kind = self._random.choice(('once', 'read')) if body else 'once'
        path = f'/{kind}/{work_ms}'
        return self._make(router, '', kind, 'POST', path, body)

    def _body(self):
        return self._random.randbytes(self._random.randint(*BODY_BYTES))

    def _make(self, router, mark, kind, method, path, body=b''):
        self._counts['requests'] += 1
        request_id = f'q{self._counts["requests"]}{mark}'
        return Exchange(request_id, kind, router.name, method, path, body)
