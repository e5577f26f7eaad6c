"""Endpoints, the layers they hold, their load reports, and chains."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from foxtailhatch.core.layers import LayerRange


class EndpointKind(StrEnum):
    """The kind of server at an endpoint."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Mark(StrEnum):
    """The desired lifecycle state of an instance.

    Operators or the platform set it.
    """

    JOIN = 'join'
    LEAVE = 'leave'
    STOP = 'stop'


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a port.

    >>> str(Address('127.0.0.1', 80))
    '127.0.0.1:80'
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A back end on the live-instance list or in the configuration."""

    name: str
    address: Address
    kind: EndpointKind
    availability_zone: str
    accelerator: str = ''
    labels: Mapping[str, str] = field(default_factory=dict)
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Holding:
    """A range of layers, and adapters, of a model loaded by an endpoint."""

    model: str
    version: str
    layers: LayerRange
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an engine as the engine itself measured it.

    ``measured_at`` is the engine's wall time in seconds: reports arrive with a
    delay.  ``step_seconds`` is the duration of one decoding step of one stream
    at the current batch size, and ``streams`` the number of streams open from
    all entries.
    """

    endpoint: str
    measured_at: float
    streams: int
    queued_tokens: int
    step_seconds: float
    max_streams: int
    holdings: tuple[Holding, ...]


@dataclass(frozen=True, slots=True)
class ChainStage:
    """A stage of a chain: an endpoint and the layers that it runs."""

    endpoint: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class Chain:
    """A pipeline of stages that runs each layer of a model once, in order."""

    model: str
    version: str
    stages: tuple[ChainStage, ...]
