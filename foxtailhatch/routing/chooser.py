"""Choose a chain by a shortest path over layer boundaries."""

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
from foxtailhatch.routing.offers import offers
from foxtailhatch.routing.paths import cheapest
from foxtailhatch.routing.pool import Pool
from foxtailhatch.routing.query import ChainQuery

RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class ShortestPathChooser:
    """Choose the chain with the least expected time to wait.

    The cost of a chain is its expected time to first token plus its expected
    time between tokens for each token of the answer, as ``weights`` weighs
    them.  Activations go through the entry, so each stage adds one round trip
    between entry and endpoint to every token.  ``rng`` samples among many
    endpoints of one range; give each entry its own.
    """

    weights: CostWeights = field(default_factory=CostWeights)
    rng: random.Random = field(default_factory=random.Random)

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return the cheapest chain, or a refusal: nothing was run."""
        offered = offers(query, pool, self.weights, self.rng, now)
        path = cheapest(offered, query.layer_count)
        if path is None:
            return Failure(no_chain(query))
        chain = Chain(query.model, query.version, path.stages)
        return Success(checked(chain, query.layer_count))


def no_chain(query: ChainQuery) -> Refusal:
    """Return the refusal for a query that no chain can serve now."""
    return Refusal(
        ErrorCode.NO_CAPACITY,
        f'No chain of endpoints holds all layers of {query.model} now.',
        retry_after_s=RETRY_AFTER_S,
    )


def checked(chain: Chain, layer_count: int) -> Chain:
    """Return the chain after checking that it holds each layer once."""
    ranges = [stage.layers for stage in chain.stages]
    require(
        Invariant.LAYERS_ONCE_IN_ORDER,
        tiles(ranges, layer_count),
        f'{ranges} of {layer_count} layers',
    )
    return chain
