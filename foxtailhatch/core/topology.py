"""Endpoints, what they hold, and what they last reported."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from foxtailhatch.core.layers import LayerRange


class EndpointKind(StrEnum):
    """What stands at an endpoint."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Mark(StrEnum):
    """What operators or the platform say of an instance."""

    JOIN = 'join'
    LEAVE = 'leave'
    STOP = 'stop'


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP number and a port.

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
    """A back end as the live-instance list or the configuration names it."""

    name: str
    address: Address
    kind: EndpointKind
    availability_zone: str
    accelerator: str = ''
    labels: Mapping[str, str] = field(default_factory=dict)
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Holding:
    """A range of a model's layers that an endpoint has loaded."""

    model: str
    version: str
    layers: LayerRange
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own account of itself; it arrives with a lag.

    ``measured_at`` is the engine's wall time in seconds, ``step_seconds`` the
    time one decoding step of one stream takes at the present batch depth,
    ``streams`` the streams open from all entries.
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
    """One stage of a chain: an endpoint and the layers it is asked for."""

    endpoint: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class Chain:
    """The stages, in order, that together run each layer exactly once."""

    model: str
    version: str
    stages: tuple[ChainStage, ...]
