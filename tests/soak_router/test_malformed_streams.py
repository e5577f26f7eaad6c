"""What callers of the router get of a stream with bytes of another origin."""

import asyncio

import pytest

from standins.platform_engine import EVENT_COUNT, EVENT_INTERVAL_S, StubEndpoint
from tests.soak_router.client import send_request
from tests.soak_router.test_router import run_scenario
from tests.soak_router.world import World

LAST_SOUND = 3
FOREIGN_BYTES = {
    'other bytes': b'\x00\xfe\xffxx\n\n',
    'empty number': b'id:\ndata: x\n\n',
    'no number': b'data: x\n\n',
    'second head': b'HTTP/1.1 200 OK\r\nServer: x\r\n\r\n',
    'two numbers': b'id: 4\nid: 9\ndata: x\n\n',
    'two events for some readers': b'id: 4\ndata: x\n\r\nid: 9\n\n',
}
REQUESTS = 4


def chunk(raw):
    return b'%x\r\n%s\r\n' % (len(raw), raw)


class ForeignBytesEndpoint(StubEndpoint):
    """An endpoint that sends other bytes in the first run of each stream."""

    foreign = b''
    answered: set = set()

    async def _stream(self, request_id, last_event_id, writer):
        is_probe = request_id.startswith('probe')
        if is_probe or request_id in self.answered:
            await super()._stream(request_id, last_event_id, writer)
            return
        self.answered.add(request_id)
        for number in range(1, EVENT_COUNT + 1):
            if number == LAST_SOUND + 1:
                writer.write(chunk(self.foreign))
            event = b'id: %d\ndata: %s\n\n' % (number, request_id.encode())
            writer.write(chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b'0\r\n\r\n')


def world_with(raw):
    """Return a world whose engines send ``raw`` once in each stream."""

    class Endpoint(ForeignBytesEndpoint):
        foreign = raw
        answered: set = set()

    class ForeignBytesWorld(World):
        endpoint_type = Endpoint

    return ForeignBytesWorld


def whole_stream(request_id):
    return b''.join(
        b'id: %d\ndata: %s\n\n' % (number, request_id.encode())
        for number in range(1, EVENT_COUNT + 1)
    )


# Guards against pieces in a stream that no run has made.
@pytest.mark.parametrize('kind', FOREIGN_BYTES)
def test_stream_goes_on_elsewhere_after_other_bytes(tmp_path, kind):
    async def scenario(world):
        names = [f'q{index}' for index in range(REQUESTS)]
        address = world.routers[0].address
        responses = await asyncio.gather(
            *(send_request(address, name, '/m/x') for name in names)
        )
        for name, response in zip(names, responses, strict=True):
            assert response.is_whole
            assert response.body == whole_stream(name)
        log = world.routers[0].log_text()
        assert log.count('"event":"event_malformed"') == REQUESTS

    run_scenario(tmp_path, scenario, world_type=world_with(FOREIGN_BYTES[kind]))
