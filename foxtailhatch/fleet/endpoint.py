"""State that an endpoint publishes of itself."""

from dataclasses import dataclass, field
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
    after each restart under the same name, and ``heartbeats`` is the number of
    records that it has written; both are 0 if unknown.
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
    heartbeats: int = field(default=0, compare=False)
