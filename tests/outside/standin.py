"""Stand-ins for external systems, on free loopback ports in this process."""

from contextlib import contextmanager

from foxtailhatch.core import Endpoint, EndpointKind, Holding, LayerRange
from foxtailhatch.outside.http_client import HttpClient
from standins.engine_node import Engine, EngineSettings
from standins.engine_streams import EngineStreams
from standins.process import listen
from tests.outside.loop import reactor

LAYERS = 6


@contextmanager
def listening(standin):
    ports = listen(reactor(), 0, standin)
    try:
        yield ports
    finally:
        ports.port.stopListening()
        ports.admin.stopListening()


def engine(*holdings, **settings):
    streams = EngineStreams(
        tuple(
            Holding('toy', '1', LayerRange(first, end))
            for first, end in holdings
        ),
        {'toy': LAYERS},
    )
    return Engine(reactor(), EngineSettings('ep', streams, **settings))


def endpoint(ports, name='ep', kind=EndpointKind.ENGINE):
    return Endpoint(name, ports.address(), kind, 'thrissur-a')


def client():
    return HttpClient(reactor())
