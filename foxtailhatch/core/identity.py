"""Who asks: a caller and the client account it belongs to."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller that proved itself with its bearer token."""

    name: str
    account: str
    labels: Mapping[str, str] = field(default_factory=dict)
