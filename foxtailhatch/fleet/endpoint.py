"""What an endpoint says of itself."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import LayerRange


class EndpointState(StrEnum):
    """Whether an endpoint takes new work."""

    READY = 'ready'
    DRAINING = 'leaving'


@dataclass(frozen=True, slots=True)
class LiveEndpoint:
    """One incarnation of an endpoint.

    ``layers`` is what a model engine holds and ``card`` its kind of
    accelerator.  ``born`` tells two incarnations under one name apart.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    state: EndpointState
    layers: LayerRange | None = None
    accelerator_kind: str = ''
    incarnation: int = 0
