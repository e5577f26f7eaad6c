"""What callers of the router get of responses with an invalid status."""

import asyncio
from itertools import product

from standins.platform_engine import EVENT_COUNT, StubEndpoint
from tests.soak_router.client import send_request
from tests.soak_router.test_router import run_scenario
from tests.soak_router.world import ZONES, World

STATUSES = ('000', '600', '999', '2x0')
FRAMINGS = {
    'length': 'Content-Length: 7\r\n\r\nforeign',
    'neither': 'Connection: close\r\n\r\nforeign',
}
# An endpoint that sends malformed answers in a row is backed off for a second or
# longer, so there are others for each request.
DESKS = 14
PAUSE_S = 0.3
# A process that has just started may repeat few requests for this time.
RETRY_WINDOW_S = 10.0
PATHS = {'/once/': 'POST', '/read/': 'GET', '/m/': 'GET'}


class TroubledEndpoint(StubEndpoint):
    """An endpoint that answers as the last part of a path says.

    The part names the status, the framing, whether the answer is signed, and
    whether the first endpoint alone or each one gives it.
    """

    answered: set = set()

    async def _handle(self, req, writer):
        _, _, text = req.path.rpartition('/')
        expected = req.headers.get('foxtailhatch-expect-instance')
        if '.' not in text or expected != self.name:
            return await super()._handle(req, writer)
        status, framing, signature, extent = text.split('.')
        request_id = req.headers['foxtailhatch-request-id']
        if extent == 'first' and request_id in self.answered:
            return await super()._handle(req, writer)
        self.answered.add(request_id)
        self._pool.runs[request_id] += 1
        lines = [f'HTTP/1.1 {status} X']
        if signature == 'signed':
            lines.append(f'Foxtailhatch-Request-Id: {request_id}')
            lines.append(f'Foxtailhatch-Response-Seal: seal-{request_id}')
        head = '\r\n'.join([*lines, FRAMINGS[framing]])
        writer.write(head.encode())
        await writer.drain()


class TroubledWorld(World):
    endpoint_type = TroubledEndpoint


def is_sound(path, response):
    if path == '/m/':
        return response.body.count(b'data: ') == EVENT_COUNT
    return response.body == b'done'


async def play(world, address, path, text):
    """Send a request for each way to answer; return what is wrong with it."""
    name = f'{path}{text}'
    extent = text.rpartition('.')[2]
    response = await send_request(address, name, name, PATHS[path])
    may_repeat = path != '/once/'
    if extent == 'first' and may_repeat:
        is_right = response.status == 200 and is_sound(path, response)
    else:
        is_right = response.status == 502
    if response.is_whole and is_right and b'foreign' not in response.body:
        return []
    return [(name, response)]


# Guards against a status of an endpoint in trouble that reaches a caller as an answer.
def test_no_invalid_status_reaches_a_caller(tmp_path):
    async def scenario(world):
        for index in range(DESKS):
            await world.add_desk(ZONES[index % len(ZONES)])
        await asyncio.sleep(RETRY_WINDOW_S)
        ways = product(
            STATUSES, FRAMINGS, ('signed', 'unsigned'), ('first', 'all')
        )
        wrong = []
        for way in ways:
            text = '.'.join(way)
            address = world.routers[0].address
            played = await asyncio.gather(
                *(play(world, address, path, text) for path in PATHS)
            )
            wrong += sum(played, [])
            await asyncio.sleep(PAUSE_S)
        assert wrong == []

    run_scenario(tmp_path, scenario, world_type=TroubledWorld)
