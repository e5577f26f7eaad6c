"""What a stage at an endpoint costs an answer.

A visit of one token at an endpoint costs the round trip to it, a step as the
endpoint reports it, the time that this entry lately waited for one, and the
step's congestion: the cube of the time that the endpoint needs to step
each of its streams, against the mean step of the pool, for each layer held.
The cube makes the work spread over endpoints by their speed once they are
loaded, and leaves latency to decide while they are not.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailhatch.core import ChainStage, LayerRange
from foxtailhatch.routing.blocks import BLOCK_TOKENS
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.view import EndpointView

BASE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class CostWeights:
    """How seconds of waiting are weighed against each other.

    A second before the first token costs ``first_token``; a second between
    any two tokens of the answer costs ``between_tokens``.  Endpoints count as
    congested when they hold about ``depth`` streams, or ``pressed_depth`` while
    requests wait at this entry: then throughput goes before latency.  A cached
    block of the prompt spares as much as ``cached_block`` steps cost: its
    prefill would have kept the whole batch waiting.
    """

    first_token: float = 1
    between_tokens: float = 1
    depth: float = 64
    pressed_depth: float = 10
    cached_block: float = 2


@dataclass(frozen=True, slots=True)
class Offer:
    """The layers an endpoint offers, and the cost of using any of them.

    Using ``n`` layers costs ``fixed + n * per_layer`` weighted seconds.  A
    kept stage is offered ``entire``: as it was, or not at all.
    """

    endpoint: str
    layers: LayerRange
    fixed: float
    per_layer: float
    entire: bool = False

    def cost(self, layers: int) -> float:
        """Return the cost of using that many layers."""
        return self.fixed + layers * self.per_layer


@dataclass(frozen=True, slots=True)
class Means:
    """The mean step and the mean number of layers of some endpoints."""

    step_s: float
    layers: float


@dataclass(frozen=True, slots=True)
class OfferMaker:
    """Make the offers for one query.

    ``growth`` is how often a change of this entry's own streams counts, and
    ``mean`` describes the endpoints in question; ``cached`` gives the
    prompt tokens that an endpoint is expected to have cached.
    """

    query: ChainQuery
    pool: Pool
    weights: CostWeights
    growth: float
    mean: Means
    cached: Mapping[str, float]
    now: float

    def fresh(self, holder: Holder) -> Offer:
        """Return the offer of an endpoint that would open a new stream."""
        view = holder.view
        layers = len(holder.layers)
        tokens = view.queued_tokens() + self.query.prompt_tokens
        prefill_s = self.weights.first_token * view.prefill_s(layers, tokens)
        steps_s = self._steps() * self._visit_s(view, layers, new_streams=1)
        spared_s = self._cached_blocks(view) * view.step_s()
        return Offer(
            view.endpoint.name,
            holder.layers,
            self._links_s(view) + BASE_SHARE * steps_s,
            ((1 - BASE_SHARE) * steps_s + prefill_s - spared_s) / layers,
        )

    def fresh_of(self, group: Iterable[Holder]) -> list[Offer]:
        """Return the offers of all endpoints of a group."""
        return [self.fresh(holder) for holder in group]

    def kept(self, stage: ChainStage, view: EndpointView) -> Offer:
        """Return the offer of a stage that is open and needs no prefill."""
        asked = len(stage.layers)
        part = asked / view.held_layers(stage.layers)
        share = BASE_SHARE + (1 - BASE_SHARE) * part
        visit_s = self._visit_s(view, asked, new_streams=0)
        steps_s = self._steps() * share * visit_s
        return Offer(
            stage.endpoint,
            stage.layers,
            self._links_s(view) + steps_s,
            per_layer=0,
            entire=True,
        )

    def _cached_blocks(self, view: EndpointView) -> float:
        tokens = self.cached.get(view.endpoint.name, 0)
        return self.weights.cached_block * tokens / BLOCK_TOKENS

    def _steps(self) -> float:
        later = self.weights.between_tokens * self.query.expected_tokens
        return self.weights.first_token + later

    def _links_s(self, view: EndpointView) -> float:
        return self._steps() * self.pool.round_trip(view)

    def _depth(self) -> float:
        if self.pool.queued_requests:
            return self.weights.pressed_depth
        return self.weights.depth

    def _visit_s(
        self,
        view: EndpointView,
        layers: int,
        new_streams: int,
    ) -> float:
        step_s = view.step_s()
        streams = view.streams(self.growth) + new_streams
        round_s = streams * step_s / self._depth()
        observed_s = view.observed_step_s(layers, self.now)
        congestion_s = round_s**3 / self.mean.step_s**2
        return step_s + observed_s + congestion_s * layers / self.mean.layers
