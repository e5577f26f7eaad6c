"""Choose a chain as the shortest path over layer boundaries."""

import random
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from foxtailhatch.core import (
    Chain,
    ErrorCode,
    Invariant,
    Refusal,
    require,
    tiles,
)
from foxtailhatch.routing.costs import CostWeights
from foxtailhatch.routing.paths import cheapest_path
from foxtailhatch.routing.pool import Pool
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.stage_options import stage_options

RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class ShortestPathChooser:
    """Choose the chain with the lowest expected latency.

    The cost of a chain is its expected time to first token plus its expected
    time between tokens for each token of the answer, weighted by ``weights``.
    Activations pass through the entry, so each stage adds one round trip
    between entry and endpoint to every token.  ``rng`` samples the endpoints
    of a range that has many; entries must not share its seed.
    """

    weights: CostWeights = field(default_factory=CostWeights)
    rng: random.Random = field(default_factory=random.Random)

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return the cheapest chain, or a refusal if there is none."""
        options = stage_options(query, pool, self.weights, self.rng, now)
        path = cheapest_path(options, query.layer_count)
        if path is None:
            return Failure(no_chain_refusal(query))
        chain = Chain(query.model, query.version, path.stages)
        return Success(check_chain(chain, query.layer_count))


def no_chain_refusal(query: ChainQuery) -> Refusal:
    """Return the refusal of a query that no chain can serve now."""
    return Refusal(
        ErrorCode.NO_CAPACITY,
        f'No chain of endpoints holds all layers of {query.model} now.',
        retry_after_s=RETRY_AFTER_S,
    )


def check_chain(chain: Chain, layer_count: int) -> Chain:
    """Return the chain; require that it covers each layer once, in order."""
    ranges = [stage.layers for stage in chain.stages]
    require(
        Invariant.LAYERS_ONCE_IN_ORDER,
        tiles(ranges, layer_count),
        f'{ranges} of {layer_count} layers',
    )
    return chain
