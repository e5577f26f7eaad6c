"""What the stages of a chain cost a request that is about to start."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailhatch.fleet import EndpointLoads, LiveEndpoint
from foxtailhatch.routes import Engine

# A stage that finds its engine busy waits for about one step of the batch.
STEPS_WAITED = 1.0
# Beyond this fill of KV cache an engine begins to preempt requests.
FILL_HIGH = 0.85
FULL_PENALTY_S = 5.0
# A crossing costs the activations of prompt and answer on a shared link.
CROSSING_S = 1.0


@dataclass(frozen=True, slots=True)
class ChainCosts:
    """Costs from the endpoints' cards and the work in progress there.

    ``sharers`` estimates how many entries send alike: what others have in
    progress is taken to be like our own.
    """

    engine: Engine
    endpoints: Mapping[str, LiveEndpoint]
    loads: EndpointLoads
    tokens: int
    sharers: float

    def of(self, endpoint: str, layers: int, *, is_first: bool) -> float:
        """Return the seconds of an answer of usual length at a stage."""
        known = self.endpoints[endpoint]
        card = self.engine.cards[known.card]
        share = layers / self.engine.layer_count
        work = self.loads.of(endpoint)
        running = work.requests * self.sharers
        step_s = self.engine.step_s + self.engine.request_step_s * running
        steps = self.engine.usual_answer * (1 + STEPS_WAITED)
        answer_s = steps * step_s * card.step_factor * share
        cost = answer_s + self._crowding(known, work.tokens)
        if is_first and known.slots:
            fill = work.received * self.sharers / known.slots
            cost += _penalty(fill)
        return cost

    def crossing(self, zone: str, to_zone: str) -> float:
        """Return what the way between two zones costs."""
        return 0 if zone == to_zone else CROSSING_S

    def fill(self, endpoint: LiveEndpoint) -> float:
        """Return the estimated share of an engine's KV cache in use."""
        held = endpoint.layers
        if held is None:
            return 1
        room = self.engine.kv_tokens(
            self.engine.cards[endpoint.card],
            len(held),
        )
        tokens = self.loads.of(endpoint.name).tokens * self.sharers
        return (tokens + self.tokens) / room if room else 1

    def _crowding(self, endpoint: LiveEndpoint, tokens: int) -> float:
        return _penalty(self.fill(endpoint))


def _penalty(fill: float) -> float:
    if fill <= FILL_HIGH:
        return fill / 10
    return fill / 10 + FULL_PENALTY_S * (fill - FILL_HIGH) / (1 - FILL_HIGH)
