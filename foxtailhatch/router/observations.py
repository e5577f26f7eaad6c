"""What one entry found at an endpoint, for all entries to know.

A finding names the endpoint's incarnation, so that it never counts against
the next one under the same name.
"""

from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointTable

_FIELDS = 5
# Name, start, whether it is dead, first and end layer.
_TYPES = [str, int, bool, int, int]


@dataclass(frozen=True, slots=True)
class EndpointObservation:
    """An endpoint that seems dead, or the layers that it can now run."""

    endpoint: str
    born: int
    is_dead: bool
    layers: LayerRange | None = None

    def apply(self, table: EndpointTable, now: float) -> bool:
        """Put the finding on the table; return whether it changed it."""
        if self.is_dead:
            return table.mark_dead(self.endpoint, self.born, now)
        return table.set_observed_layers(
            self.endpoint, self.born, self.layers, now
        )

    def encode(self) -> bytes:
        """Return the finding as the log keeps it."""
        held = self.layers
        bounds = [held.first, held.end] if held else [0, 0]
        return orjson.dumps([self.endpoint, self.born, self.is_dead, *bounds])


def decode_observation(raw: bytes) -> Result[EndpointObservation, str]:
    """Return the finding that a record holds."""
    try:
        fields = orjson.loads(raw)
    except ValueError as exc:
        return Failure(str(exc))
    if not isinstance(fields, list) or len(fields) != _FIELDS:
        return Failure('not a finding')
    if [type(one) for one in fields] != _TYPES:
        return Failure('fields of other types')
    first, end = fields[3:]
    layers = LayerRange(first, end) if end > first else None
    return Success(EndpointObservation(fields[0], fields[1], fields[2], layers))
