"""Endpoints that stand still for a while and then go on where they were.

A plain service answers ``GET`` with as many bytes as the path names, and
``POST`` with the length and the digest of the body that it got.
"""

import asyncio
import hashlib
import json
from itertools import cycle, islice

from standins.mini_http import ACCEPTED, MiniResponse
from standins.platform_engine import (
    EVENT_COUNT,
    EVENT_INTERVAL_S,
    StubEndpoint,
    _event,
    _seal_headers,
)

MS_IN_S = 1000
PIECE_BYTES = 65_536
PAUSE_CHECK_S = 0.02
# A drained endpoint exits once it has no work, and at last after this time.
MAX_DRAIN_S = 12.0


def numbers_in(path):
    """Return the numbers in a path, as in ``/read/SIZE/WORK_MS``."""
    return [int(part) for part in path.split('/') if part.isdecimal()]


def read_body(request_id, size):
    """Return the body that answers a ``GET`` of a plain service."""
    return bytes(islice(cycle(f'{request_id}.'.encode()), size))


def write_body(request_id, body):
    """Return the body that answers a ``POST`` of a plain service."""
    digest = hashlib.sha256(body).hexdigest()
    return f'{request_id} {len(body)} {digest}'.encode()


class SilentEndpoint(StubEndpoint):
    """An endpoint that can stand still like a stopped process.

    While it does, its connections stay open, the system accepts new ones, no
    byte is read or written, and no heartbeat is written.  Work that waits for
    it stands still as well, on the heads of all chains that it is part of.
    Layers that it is to give up are kept until no work passes through them.
    """

    def __init__(self, pool, name, service, zone):
        super().__init__(pool, name, service, zone)
        self.silences = []
        self.work_count = 0
        self._ordered = None
        self._is_awake = asyncio.Event()
        self._is_awake.set()

    @property
    def is_silent(self):
        return not self._is_awake.is_set()

    async def stand_still(self, silence_s):
        """Answer nothing for a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + silence_s
        self.silences.append((loop.time(), until))
        self._is_awake.clear()
        while loop.time() < until:
            for writer in tuple(self.server._writers):
                writer.transport.pause_reading()
            await asyncio.sleep(min(PAUSE_CHECK_S, until - loop.time()))
        self._is_awake.set()
        for writer in tuple(self.server._writers):
            writer.transport.resume_reading()

    async def leave(self, leaving_s):
        """Announce the end, serve on for a time, and exit without work."""
        loop = asyncio.get_running_loop()
        self.start_draining()
        began_at = loop.time()
        while loop.time() < began_at + MAX_DRAIN_S:
            await asyncio.sleep(0.1)
            is_over = loop.time() >= began_at + leaving_s
            if is_over and not self.is_silent and not self._has_work():
                break
        self.crash()

    def write_record(self):
        if not self.is_silent:
            super().write_record()

    def _has_work(self):
        address = self.server.address
        return self.work_count > 0 or any(
            stage[0] == address
            for node in self._pool.nodes.values()
            for stages in node.paths.values()
            for stage in stages
        )

    async def _answer(self, req, writer):
        await self._is_awake.wait()
        response = await super()._answer(req, writer)
        await self._is_awake.wait()
        if response is None or len(response.body) <= PIECE_BYTES:
            return response
        await self._write_in_pieces(response.encode(), writer)
        return None

    async def _write_in_pieces(self, encoded, writer):
        writer.transport.set_write_buffer_limits(PIECE_BYTES)
        self.work_count += 1
        try:
            for start in range(0, len(encoded), PIECE_BYTES):
                await self._is_awake.wait()
                writer.write(encoded[start : start + PIECE_BYTES])
                await writer.drain()
        finally:
            self.work_count -= 1

    def _order(self, order, entry):
        response = super()._order(order, entry)
        if response.status == ACCEPTED:
            self._ordered = (int(order['from']), int(order['to']))
        return response

    def _load(self, first, end):
        """Finish an order once nothing passes through what it gives up."""
        if self.is_silent or self._is_passed_outside(first, end):
            loop = asyncio.get_running_loop()
            loop.call_later(PAUSE_CHECK_S, self._load, first, end)
            return
        self._ordered = None
        super()._load(first, end)

    def _is_passed_outside(self, first, end):
        return any(
            address == self.server.address
            and (stage_first < first or stage_end > end)
            for node in self._pool.nodes.values()
            for stages in node.paths.values()
            for address, stage_first, stage_end in stages
        )

    def accepts(self, first, end):
        """Return whether new work may pass through these layers."""
        is_kept = (
            self._ordered is None
            or self._ordered[0] <= first
            and end <= self._ordered[1]
        )
        return is_kept and self.holds(first, end)

    def _first_unavailable(self, stages):
        for address, first, end in stages:
            node = self._pool.nodes.get(address)
            if node is None or not node.accepts(first, end):
                return address
        return None

    def _first_missing(self, stages):
        """Return the address of what running work waits for, if anything."""
        for address, first, end in stages:
            node = self._pool.nodes[address]
            if node.is_silent or not node.holds(first, end):
                return address
        return None

    async def _run_plain(self, req, entry):
        request_id = req.headers['foxtailhatch-request-id']
        refusal = self._check_pause([self], entry, request_id)
        if refusal is not None:
            return refusal
        self._pool.runs[request_id] += 1
        self.work_count += 1
        try:
            return await self._work(request_id, req)
        finally:
            self.work_count -= 1

    async def _work(self, request_id, req):
        numbers = numbers_in(req.path)
        await asyncio.sleep(numbers[-1] / MS_IN_S if numbers else 0)
        await self._is_awake.wait()
        body = (
            write_body(request_id, req.body)
            if req.method == 'POST'
            else read_body(request_id, numbers[0] if numbers else 1)
        )
        return MiniResponse(body=body, headers=_seal_headers(request_id))

    async def _stream(self, request_id, last_event_id, writer):
        number = last_event_id
        interval_s, count = stream_shape(request_id)
        stages = self.paths[request_id]
        while number < count:
            await asyncio.sleep(interval_s)
            await self._is_awake.wait()
            if writer._reader.at_eof():
                # The caller has closed the connection.
                return
            # An earlier attempt that has ended here has taken the path with it.
            stages = self.paths.setdefault(request_id, stages)
            if self._first_missing(stages) is not None:
                continue
            number += 1
            self._pool.check_layers(request_id, stages)
            writer.write(_event(request_id, number))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def _report(self):
        document = json.loads(super()._report().body)
        document['stalled'] = [
            {'id': request_id, 'address': address}
            for request_id, stages in self.paths.items()
            if (address := self._first_missing(stages)) is not None
        ]
        return MiniResponse(body=json.dumps(document).encode())


def stream_shape(request_id):
    """Return the interval in seconds and the number of a stream's events.

    A request id names them, as in ``q7-s80x40ms``.
    """
    _, mark, shape = request_id.partition('-s')
    if not mark:
        return EVENT_INTERVAL_S, EVENT_COUNT
    count, _, interval = shape.removesuffix('ms').partition('x')
    return int(interval) / MS_IN_S, int(count)


def stream_body(request_id):
    """Return the whole stream that answers a request."""
    _, count = stream_shape(request_id)
    return b''.join(
        b'id: %d\ndata: %s\n\n' % (number, request_id.encode())
        for number in range(1, count + 1)
    )
