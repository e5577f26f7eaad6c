"""The identity of a caller and its client account."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller authenticated by its bearer token."""

    name: str
    account: str
    labels: Mapping[str, str] = field(default_factory=dict)
