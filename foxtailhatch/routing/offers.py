"""What each endpoint would cost an answer, before any path is sought."""

from collections.abc import Iterator
from dataclasses import dataclass

from foxtailhatch.config.configuration import carries
from foxtailhatch.core import ChainStage, LayerRange
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.view import EndpointView


@dataclass(frozen=True, slots=True)
class Weights:
    """How seconds of waiting are weighed against each other.

    A second before the first token costs ``first_token``; a second between
    any two tokens of the answer costs ``between_tokens``.
    """

    first_token: float = 1
    between_tokens: float = 1


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


def offers(
    query: ChainQuery,
    pool: Pool,
    weights: Weights,
) -> Iterator[Offer]:
    """Yield what the usable endpoints offer to a query."""
    for holder in pool.holders(query.model, query.version):
        if eligible(holder.view, query) and holder.view.has_room():
            yield _fresh(holder, query, pool, weights)
    for stage in query.keep:
        view = pool.views.get(stage.endpoint)
        if view and eligible(view, query):
            yield _kept(stage, view, query, pool, weights)


def eligible(view: EndpointView, query: ChainQuery) -> bool:
    """Tell whether a query may use an endpoint, its load left aside."""
    if not view.usable or view.endpoint.name in query.excluded:
        return False
    return carries(view.endpoint.labels, query.endpoint_labels)


def _fresh(
    holder: Holder,
    query: ChainQuery,
    pool: Pool,
    weights: Weights,
) -> Offer:
    view = holder.view
    depth = view.streams() + 1
    layer_s = view.layer_s(depth)
    waiting = view.queued_tokens() + query.prompt_tokens
    first_layer_s = view.prefill_s(waiting, depth) + layer_s
    return Offer(
        view.endpoint.name,
        holder.layers,
        _fixed(view, query, pool, weights),
        weights.first_token * first_layer_s
        + weights.between_tokens * query.expected_tokens * layer_s,
    )


def _kept(
    stage: ChainStage,
    view: EndpointView,
    query: ChainQuery,
    pool: Pool,
    weights: Weights,
) -> Offer:
    layer_s = view.layer_s(max(1, view.streams()))
    steps = weights.first_token + weights.between_tokens * query.expected_tokens
    return Offer(
        stage.endpoint,
        stage.layers,
        _fixed(view, query, pool, weights),
        steps * layer_s,
        entire=True,
    )


def _fixed(
    view: EndpointView,
    query: ChainQuery,
    pool: Pool,
    weights: Weights,
) -> float:
    trips = weights.first_token + weights.between_tokens * query.expected_tokens
    return trips * pool.round_trip(view)
