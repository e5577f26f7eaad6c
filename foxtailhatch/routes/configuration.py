"""The data classes of a routing configuration.

Times are in seconds, accelerator memory and layer sizes in megabytes, and
sizes of activations and KV cache in bytes.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

BYTES_IN_MB = 1e6


class RouteKind(StrEnum):
    """Whether the requests of a route may be repeated after a failure."""

    REPEATABLE = 'repeatable'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its relative share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A rule for requests to ``host`` whose path starts with ``prefix``.

    ``max_gap_s`` is the target for the longest pause between two events of a
    stream, and ``attempts`` the maximum number of endpoints that a request
    may be sent to.  Priority 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    max_gap_s: float | None
    priority: int
    attempts: int
    is_public: bool
    is_resumable: bool
    shares: tuple[ServiceShare, ...]

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may be run again after a failure."""
        return self.kind is RouteKind.REPEATABLE or self.is_resumable


@dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator; the factors scale the times of an engine."""

    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity and cost parameters of the engines of a model service.

    ``kv_bytes`` is the KV cache size of one token over all layers, and
    ``step_s`` the time of a step with an empty batch over all layers on an
    accelerator with factor 1.  A chain has at most ``max_stages`` endpoints.
    ``zone_link_bytes_per_s`` is the rate of the link that all chains between
    zones share; without it, they are not limited.
    """

    slots: int
    layer_count: int
    max_stages: int
    layer_mb: float
    kv_bytes: float
    activation_bytes: float
    step_s: float
    per_request_step_s: float
    prefill_tokens_per_s: float
    load_s: float
    loads_at_once: int
    typical_prompt_tokens: float
    typical_output_tokens: float
    accelerators: Mapping[str, AcceleratorKind]
    zone_link_bytes_per_s: float | None = None

    def kv_tokens(self, memory_mb: float, layers: int) -> float:
        """Return how many tokens of KV cache fit next to ``layers`` layers."""
        free_mb = memory_mb - layers * self.layer_mb
        share = layers / self.layer_count
        return max(0, free_mb) * BYTES_IN_MB / (self.kv_bytes * share)


@dataclass(frozen=True, slots=True)
class Service:
    """A target of relayed requests; ``engine`` is set if it runs models."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None

    @property
    def runs_chains(self) -> bool:
        """Return whether its endpoints hold layers of a model each."""
        return self.engine is not None and self.engine.layer_count > 0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on request sizes and idle times of callers."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; its priority overrides that of a route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the configuration that operators publish.

    ``checks_keys`` is false if the configuration has no list of client
    accounts.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...]
    limits: ClientLimits
    checks_keys: bool
