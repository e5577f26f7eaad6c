"""State that an endpoint publishes of itself."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import LayerRange


class EndpointState(StrEnum):
    """Whether an endpoint accepts new requests."""

    READY = 'ready'
    DRAINING = 'leaving'


@dataclass(frozen=True, slots=True)
class LiveEndpoint:
    """One incarnation of an endpoint.

    ``layers`` is the range that a model engine holds.  ``incarnation`` differs
    after each restart under the same name.
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
