"""What one entry found at an endpoint, for all entries to know.

A finding names the endpoint's incarnation, so that it never counts against
the next one under the same name.
"""

from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success

from foxtailhatch.core import LayerRange

_FIELDS = 5


@dataclass(frozen=True, slots=True)
class Finding:
    """An endpoint that seems dead, or the layers that it now holds."""

    endpoint: str
    born: int
    is_dead: bool
    layers: LayerRange | None = None

    def encode(self) -> bytes:
        """Return the finding as the log keeps it."""
        held = self.layers
        bounds = [held.first, held.end] if held else [0, 0]
        return orjson.dumps([self.endpoint, self.born, self.is_dead, *bounds])


def decode_finding(raw: bytes) -> Result[Finding, str]:
    """Return the finding that a record holds."""
    try:
        fields = orjson.loads(raw)
    except ValueError as exc:
        return Failure(str(exc))
    if not isinstance(fields, list) or len(fields) != _FIELDS:
        return Failure('not a finding')
    endpoint, born, is_dead, first, end = fields
    layers = LayerRange(first, end) if end > first else None
    return Success(Finding(str(endpoint), int(born), bool(is_dead), layers))
