"""An endpoint that stands still, and goes on where it was."""

import asyncio

from standins.platform_engine import EndpointPool
from standins.platform_log import PlatformLog
from tests.soak_router.kept_connection import Exchange, KeptConnection
from tests.soak_router.silent_endpoint import SilentEndpoint, read_body

SILENCE_S = 0.2


def exchange_with(node, path, request_id='q1'):
    exchange = Exchange(request_id, 'read', 'r0', 'GET', path)
    expected = f'Foxtailhatch-Expect-Instance: {node.name}\r\n\r\n'.encode()
    raw = exchange.head(1000, is_chunked=False)[:-2] + expected
    return exchange, raw


def with_endpoint(scenario):
    async def run():
        node = SilentEndpoint(EndpointPool(PlatformLog()), 'i-1', 'desk', 'z1')
        await node.start()
        try:
            await scenario(node)
        finally:
            node.crash()

    asyncio.run(run())


def test_silent_endpoint_accepts_connections_and_answers_afterwards():
    async def scenario(node):
        silence = asyncio.ensure_future(node.stand_still(SILENCE_S))
        await asyncio.sleep(0)
        conn = await KeptConnection.open(node.server.address)
        exchange, raw = exchange_with(node, '/read/5/0')
        await conn.send(raw)
        reading = asyncio.ensure_future(conn.read_answer(exchange))
        await asyncio.wait([silence, reading], return_when='FIRST_COMPLETED')
        assert silence.done() and not reading.done()
        await reading
        assert exchange.answer == read_body('q1', 5)
        conn.close()

    with_endpoint(scenario)


def test_large_answer_stands_still_and_goes_on():
    async def scenario(node):
        conn = await KeptConnection.open(node.server.address, 4096)
        exchange, raw = exchange_with(node, '/read/8000000/0')
        await conn.send(raw)
        reading = asyncio.ensure_future(conn.read_answer(exchange))
        while not exchange.status:
            await asyncio.sleep(0.01)
        await node.stand_still(SILENCE_S)
        assert not reading.done()
        await reading
        assert exchange.answer == read_body('q1', 8_000_000)
        conn.close()

    with_endpoint(scenario)


def test_layers_that_are_given_up_are_kept_for_work_in_progress():
    async def scenario(node):
        node.layers = (0, 80)
        node.paths['q1'] = [(node.server.address, 0, 80)]
        node._order(
            {'op': 'place', 'from': 0, 'to': 40, 'expected': node.orders},
            'entry-1',
        )
        node._load(0, 40)
        assert node.holds(40, 80) and not node.accepts(40, 80)
        node.paths.clear()
        node._load(0, 40)
        assert node.layers == (0, 40)

    with_endpoint(scenario)
