"""Observations of endpoints that an entry shares with all other entries.

An observation names the endpoint's incarnation, so that it is never applied
to a later incarnation under the same name.
"""

from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointTable

_FIELD_COUNT = 6
# Endpoint name, incarnation, whether it is dead, first and end layer, entry.
_FIELD_TYPES = [str, int, bool, int, int, str]


@dataclass(frozen=True, slots=True)
class EndpointObservation:
    """A dead endpoint, or the layers that an endpoint can run now.

    ``by`` is the entry that has observed it.
    """

    endpoint: str
    incarnation: int
    is_dead: bool
    layers: LayerRange | None = None
    by: str = ''

    def apply(self, table: EndpointTable, now: float) -> bool:
        """Update the endpoint table; return whether anything changed."""
        if self.is_dead:
            return table.mark_dead(self.endpoint, self.incarnation, now)
        is_revived = table.revive(self.endpoint, self.incarnation)
        has_changed = table.set_observed_layers(
            self.endpoint, self.incarnation, self.layers, now
        )
        return is_revived or has_changed

    def encode(self) -> bytes:
        """Return the observation as a log record."""
        layers = self.layers
        bounds = [layers.first, layers.end] if layers else [0, 0]
        return orjson.dumps(
            [self.endpoint, self.incarnation, self.is_dead, *bounds, self.by]
        )


def decode_observation(raw: bytes) -> Result[EndpointObservation, str]:
    """Return the observation in a log record, or why it is malformed."""
    try:
        fields = orjson.loads(raw)
    except ValueError as exc:
        return Failure(str(exc))
    if not isinstance(fields, list) or len(fields) < _FIELD_COUNT:
        return Failure('expected a list of six fields')
    # Further fields are those of a later build.
    fields = fields[:_FIELD_COUNT]
    if [type(field) for field in fields] != _FIELD_TYPES:
        return Failure('expected types: str, int, bool, int, int, str')
    first, end, by = fields[3:]
    layers = LayerRange(first, end) if end > first else None
    return Success(
        EndpointObservation(fields[0], fields[1], fields[2], layers, by)
    )
