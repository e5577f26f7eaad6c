"""What the stages of a chain cost a request that is about to start."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailhatch.fleet import LiveEndpoint, WorkEstimate
from foxtailhatch.routes import Engine

# A stage that finds its engine busy waits for about one step of the batch.
STEPS_WAITED = 1.0
# Beyond this fill of KV cache an engine begins to preempt requests.
FILL_HIGH = 0.85
FULL_PENALTY_S = 5.0
# A crossing costs the activations of prompt and answer on a shared link.
CROSSING_S = 1.0
# A request and its events that cross zones cost little, but are not free.
REQUEST_CROSSING_S = 0.3


@dataclass(frozen=True, slots=True)
class ChainCosts:
    """Costs from the endpoints' cards and the work in progress there."""

    engine: Engine
    endpoints: Mapping[str, LiveEndpoint]
    work: WorkEstimate
    tokens: int

    def stage_cost(
        self, endpoint: str, layers: int, *, is_first: bool
    ) -> float:
        """Return the seconds of an answer of usual length at a stage."""
        known = self.endpoints[endpoint]
        cost = self._answer_s(known, layers) + _penalty(self.fill(known))
        if is_first and known.slots:
            received = self.work.work_at(endpoint).received
            cost += _penalty(received / known.slots)
        return cost

    def crossing_cost(
        self, zone: str, to_zone: str, *, is_first: bool
    ) -> float:
        """Return what the way between two zones costs."""
        if zone == to_zone:
            return 0
        return REQUEST_CROSSING_S if is_first else CROSSING_S

    def fill(self, endpoint: LiveEndpoint) -> float:
        """Return the estimated share of an engine's KV cache in use."""
        held = endpoint.layers
        if held is None:
            return 1
        room = self.engine.kv_tokens(
            self.engine.accelerators[endpoint.accelerator_kind].memory_mb,
            len(held),
        )
        tokens = self.work.work_at(endpoint.name).tokens
        return (tokens + self.tokens) / room if room else 1

    def _answer_s(self, endpoint: LiveEndpoint, layers: int) -> float:
        engine = self.engine
        running = self.work.work_at(endpoint.name).requests
        step_s = engine.step_s + engine.request_step_s * running
        steps = engine.usual_answer * (1 + STEPS_WAITED)
        factor = engine.accelerators[endpoint.accelerator_kind].step_factor
        return steps * step_s * factor * layers / engine.layer_count


def _penalty(fill: float) -> float:
    if fill <= FILL_HIGH:
        return fill / 10
    return fill / 10 + FULL_PENALTY_S * (fill - FILL_HIGH) / (1 - FILL_HIGH)
