"""Estimated cost of the stages of a chain for a request about to start."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailhatch.chains.chain_search import ChainPath
from foxtailhatch.fleet import LiveEndpoint, WorkEstimate
from foxtailhatch.routes import Engine

# Batch steps that a stage waits for if its engine is busy.
WAITED_STEPS = 1.0
# Share of the KV cache in use above which an engine begins to preempt.
KV_FILL_HIGH = 0.85
FULL_PENALTY_S = 5.0
# Activations of all chains that cross zones queue for one link.  A few dozen
# such requests a second fill it, and then every one of them stalls, so no
# difference in speed is worth a crossing.
ZONE_CROSSING_S = 30.0
# A request and its events are small next to activations.  The work of other
# zones is known late, so a faster chain there would attract all zones at once.
REQUEST_CROSSING_S = 3.0


@dataclass(frozen=True, slots=True)
class ChainCosts:
    """Stage costs from the endpoints' accelerators and work in progress.

    ``endpoints`` are keyed by name, and ``tokens`` is what the request is
    expected to add to the KV cache.  A search asks for many stages of an
    endpoint, which share the cost of a layer and the penalty.
    """

    engine: Engine
    endpoints: Mapping[str, LiveEndpoint]
    work: WorkEstimate
    tokens: int
    _by_endpoint: dict[str, tuple[float, float]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def stage_cost(
        self, endpoint: str, layers: int, *, is_first: bool
    ) -> float:
        """Return the cost in seconds of an answer of usual length."""
        known = self._by_endpoint.get(endpoint)
        if known is None:
            live = self.endpoints[endpoint]
            known = (self._layer_s(live), _penalty_s(self.fill(live)))
            self._by_endpoint[endpoint] = known
        layer_s, penalty_s = known
        cost = layer_s * layers + penalty_s
        return cost + self._head_penalty_s(endpoint) if is_first else cost

    def is_crowded(self, endpoint: str, *, is_first: bool) -> bool:
        """Return whether an endpoint has little capacity left."""
        live = self.endpoints[endpoint]
        if self.fill(live) > KV_FILL_HIGH:
            return True
        received = self.work.work_at(endpoint).received
        return is_first and received > KV_FILL_HIGH * live.slots

    def is_crowded_path(self, path: ChainPath) -> bool:
        """Return whether a stage of a path has little capacity left."""
        return any(
            self.is_crowded(stage.endpoint, is_first=stage.layers.first == 0)
            for stage in path.stages
            if stage.endpoint in self.endpoints
        )

    def has_room(self, endpoint: LiveEndpoint, limit: float) -> bool:
        """Return whether the request keeps an engine within a fill limit.

        One that is larger than the limit alone may go to an idle engine.
        """
        is_idle = not self.work.work_at(endpoint.name).tokens
        return is_idle or self.fill(endpoint) <= limit

    def has_slot(self, endpoint: LiveEndpoint, limit: float) -> bool:
        """Return whether a chain head has a slot within a fill limit."""
        if not endpoint.slots:
            return True
        received = self.work.work_at(endpoint.name).received
        return received + 1 <= max(1, limit * endpoint.slots)

    def crossing_cost(
        self, zone: str, to_zone: str, *, is_first: bool
    ) -> float:
        """Return the cost in seconds of the hop between two zones."""
        if zone == to_zone:
            return 0
        return REQUEST_CROSSING_S if is_first else ZONE_CROSSING_S

    def fill(self, endpoint: LiveEndpoint) -> float:
        """Return the estimated share of an engine's KV cache in use."""
        held = endpoint.layers
        if held is None:
            return 1
        capacity = self.engine.kv_tokens(
            self.engine.accelerators[endpoint.accelerator_kind].memory_mb,
            len(held),
        )
        tokens = self.work.work_at(endpoint.name).tokens
        return (tokens + self.tokens) / capacity if capacity else 1

    def _head_penalty_s(self, endpoint: str) -> float:
        slots = self.endpoints[endpoint].slots
        received = self.work.work_at(endpoint).received
        return _penalty_s(received / slots) if slots else 0

    def _layer_s(self, endpoint: LiveEndpoint) -> float:
        """Return the time that an answer takes for each layer, in seconds."""
        engine = self.engine
        running = self.work.work_at(endpoint.name).requests
        step_s = engine.step_s + engine.per_request_step_s * running
        steps = engine.typical_output_tokens * (1 + WAITED_STEPS)
        factor = engine.accelerators[endpoint.accelerator_kind].step_factor
        return steps * step_s * factor / engine.layer_count


def _penalty_s(fill: float) -> float:
    if fill <= KV_FILL_HIGH:
        return fill / 10
    return fill / 10 + FULL_PENALTY_S * (fill - KV_FILL_HIGH) / (
        1 - KV_FILL_HIGH
    )
