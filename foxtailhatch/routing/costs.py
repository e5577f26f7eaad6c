"""Cost model of a stage at an endpoint.

Processing one token at an endpoint costs the network round trip, the step
time that the endpoint reports, the step time that this entry recently
observed, and a congestion term.  The congestion term is the cube of the
endpoint's time to step each of its streams, relative to the mean step time
of the pool, and proportional to the layers used.  Under load, the cube
distributes work over endpoints in proportion to their speed; without load,
the term is negligible and latency decides.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from foxtailhatch.core import ChainStage, LayerRange
from foxtailhatch.routing.blocks import BLOCK_TOKENS
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.view import EndpointView

FIXED_COST_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class CostWeights:
    """Weights of the parts of a chain's cost.

    A second before the first token costs ``first_token``; a second between
    any two tokens of the answer costs ``between_tokens``.  Endpoints count as
    congested at about ``saturation_streams`` streams, or at
    ``queued_saturation_streams`` while requests are queued at this entry, so
    that throughput takes precedence over latency.  A cached block of the
    prompt saves the cost of ``cached_block_steps`` steps, because its prefill
    would have delayed the whole batch.
    """

    first_token: float = 1
    between_tokens: float = 1
    saturation_streams: float = 64
    queued_saturation_streams: float = 10
    cached_block_steps: float = 2


@dataclass(frozen=True, slots=True)
class StageOption:
    """A range of layers that an endpoint can run, and its cost.

    Using ``n`` layers costs ``fixed + n * per_layer`` weighted seconds.  A
    stage kept from a broken chain is ``indivisible``: it can only be used as
    a whole.
    """

    endpoint: str
    layers: LayerRange
    fixed: float
    per_layer: float
    indivisible: bool = False

    def cost(self, layers: int) -> float:
        """Return the cost of using ``layers`` layers, in weighted seconds."""
        return self.fixed + layers * self.per_layer


@dataclass(frozen=True, slots=True)
class HolderMeans:
    """The mean step time and mean layer count of a set of holders."""

    step_s: float
    layers: float


@dataclass(frozen=True, slots=True)
class StageCostModel:
    """Compute the stage options of one query.

    ``load_scale`` is the factor by which a change of this entry's own streams
    is multiplied, ``mean`` describes the candidate holders, and ``cached``
    gives the expected number of cached prompt tokens by endpoint.
    """

    query: ChainQuery
    pool: Pool
    weights: CostWeights
    load_scale: float
    mean: HolderMeans
    cached: Mapping[str, float]
    now: float

    def new_stage(self, holder: Holder) -> StageOption:
        """Return the option of opening a new stream at an endpoint."""
        view = holder.view
        layers = len(holder.layers)
        tokens = view.queued_tokens() + self.query.prompt_tokens
        prefill_s = self.weights.first_token * view.prefill_s(layers, tokens)
        steps_s = self._weighted_steps() * self._token_time_s(
            view, layers, new_streams=1
        )
        saved_s = self._cached_blocks(view) * view.step_s()
        return StageOption(
            view.endpoint.name,
            holder.layers,
            self._network_s(view) + FIXED_COST_SHARE * steps_s,
            ((1 - FIXED_COST_SHARE) * steps_s + prefill_s - saved_s) / layers,
        )

    def new_stages(self, group: Iterable[Holder]) -> list[StageOption]:
        """Return the options of opening a new stream at each holder."""
        return [self.new_stage(holder) for holder in group]

    def kept_stage(self, stage: ChainStage, view: EndpointView) -> StageOption:
        """Return the option of keeping an open stage, which needs no prefill."""
        layers = len(stage.layers)
        part = layers / view.held_layers(stage.layers)
        share = FIXED_COST_SHARE + (1 - FIXED_COST_SHARE) * part
        token_time_s = self._token_time_s(view, layers, new_streams=0)
        steps_s = self._weighted_steps() * share * token_time_s
        return StageOption(
            stage.endpoint,
            stage.layers,
            self._network_s(view) + steps_s,
            per_layer=0,
            indivisible=True,
        )

    def _cached_blocks(self, view: EndpointView) -> float:
        tokens = self.cached.get(view.endpoint.name, 0)
        return self.weights.cached_block_steps * tokens / BLOCK_TOKENS

    def _weighted_steps(self) -> float:
        later = self.weights.between_tokens * self.query.expected_tokens
        return self.weights.first_token + later

    def _network_s(self, view: EndpointView) -> float:
        return self._weighted_steps() * self.pool.round_trip(view)

    def _saturation_streams(self) -> float:
        if self.pool.queued_requests:
            return self.weights.queued_saturation_streams
        return self.weights.saturation_streams

    def _token_time_s(
        self,
        view: EndpointView,
        layers: int,
        new_streams: int,
    ) -> float:
        step_s = view.step_s()
        streams = view.streams(self.load_scale) + new_streams
        round_s = streams * step_s / self._saturation_streams()
        observed_s = view.observed_step_s(layers, self.now)
        congestion_s = round_s**3 / self.mean.step_s**2
        return step_s + observed_s + congestion_s * layers / self.mean.layers
