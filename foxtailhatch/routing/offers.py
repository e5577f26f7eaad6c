"""What each endpoint would cost an answer, before any path is sought.

A visit of one token at an endpoint costs the round trip to it, a step, and
the step's congestion: the square of the time that the endpoint needs to step
each of its streams, against the mean step of the pool.  The square makes the
work spread over endpoints by their speed once they are loaded, and leaves
latency to decide while they are not.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from foxtailhatch.config.configuration import carries
from foxtailhatch.core import ChainStage, LayerRange
from foxtailhatch.routing.pool import Holder, HolderGroup, Pool
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.view import EndpointView

BASE_SHARE = 0.5
MAX_GROWTH = 8.0
SAMPLED_HOLDERS = 16
BEST_OFFERS = 2


@dataclass(frozen=True, slots=True)
class Weights:
    """How seconds of waiting are weighed against each other.

    A second before the first token costs ``first_token``; a second between
    any two tokens of the answer costs ``between_tokens``.  Endpoints are
    expected to be congested when they hold about ``depth`` streams.
    """

    first_token: float = 1
    between_tokens: float = 1
    depth: float = 32


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
class OfferMaker:
    """Make the offers for one query.

    ``growth`` is how often a change of this entry's own streams counts, and
    ``step_s`` the mean step of the endpoints in question.
    """

    query: ChainQuery
    pool: Pool
    weights: Weights
    growth: float
    step_s: float

    def fresh(self, holder: Holder) -> Offer:
        """Return the offer of an endpoint that would open a new stream."""
        view = holder.view
        layers = len(holder.layers)
        tokens = view.queued_tokens() + self.query.prompt_tokens
        prefill_s = self.weights.first_token * view.prefill_s(layers, tokens)
        steps_s = self._steps() * self._visit_s(view, layers, new_streams=1)
        return Offer(
            view.endpoint.name,
            holder.layers,
            self._links_s(view) + BASE_SHARE * steps_s,
            ((1 - BASE_SHARE) * steps_s + prefill_s) / layers,
        )

    def fresh_of(self, group: Iterable[Holder]) -> list[Offer]:
        """Return the offers of all endpoints of a group that have room."""
        return [
            self.fresh(holder)
            for holder in group
            if holder.view.has_room(self.growth)
        ]

    def kept(self, stage: ChainStage, view: EndpointView) -> Offer:
        """Return the offer of a stage that is open and needs no prefill."""
        steps_s = self._steps() * self._visit_s(
            view, len(stage.layers), new_streams=0
        )
        return Offer(
            stage.endpoint,
            stage.layers,
            self._links_s(view) + steps_s,
            per_layer=0,
            entire=True,
        )

    def _steps(self) -> float:
        later = self.weights.between_tokens * self.query.expected_tokens
        return self.weights.first_token + later

    def _links_s(self, view: EndpointView) -> float:
        return self._steps() * self.pool.round_trip(view)

    def _visit_s(
        self,
        view: EndpointView,
        layers: int,
        new_streams: int,
    ) -> float:
        step_s = view.step_s(layers)
        streams = view.streams(self.growth) + new_streams
        round_s = streams * step_s / self.weights.depth
        return step_s + round_s**2 / self.step_s


def offers(
    query: ChainQuery,
    pool: Pool,
    weights: Weights,
    source: random.Random,
) -> list[Offer]:
    """Return what the usable endpoints offer to a query.

    Of many that hold one range only a random sample is asked.  That bounds
    the cost of a decision, and keeps entries that know the same from going
    to the same endpoint.  Only the best offers for each range are returned.
    """
    groups = [
        _candidates(group, query, source)
        for group in pool.holders(query.model, query.version)
    ]
    holders = [holder for group in groups for holder in group]
    growth = growth_of(holder.view for holder in holders)
    maker = OfferMaker(query, pool, weights, growth, _mean_step_s(holders))
    found = []
    for group in groups:
        found.extend(best_offers(maker.fresh_of(group)))
    for stage in query.keep:
        view = pool.views.get(stage.endpoint)
        if view and eligible(view, query):
            found.append(maker.kept(stage, view))
    return found


def best_offers(same_range: list[Offer]) -> list[Offer]:
    """Return the offers of one range that a cheapest path may use.

    These are the two cheapest for the whole range, and the cheapest one for
    a small part of it.
    """
    if len(same_range) <= BEST_OFFERS:
        return same_range
    whole = sorted(same_range, key=lambda offer: offer.cost(len(offer.layers)))
    best = whole[:BEST_OFFERS]
    part = min(same_range, key=lambda offer: offer.cost(1))
    return best if part in best else [*best, part]


def _candidates(
    group: HolderGroup,
    query: ChainQuery,
    source: random.Random,
) -> Sequence[Holder]:
    if len(group) > SAMPLED_HOLDERS:
        sampled = _usable(source.sample(group, SAMPLED_HOLDERS), query)
        if sampled:
            return sampled
    return _usable(group, query)


def _usable(group: Iterable[Holder], query: ChainQuery) -> list[Holder]:
    return [
        holder
        for holder in group
        if eligible(holder.view, query) and holder.view.has_room()
    ]


def eligible(view: EndpointView, query: ChainQuery) -> bool:
    """Tell whether a query may use an endpoint, its load left aside."""
    if not view.usable or view.endpoint.name in query.excluded:
        return False
    return carries(view.endpoint.labels, query.endpoint_labels)


def growth_of(views: Iterable[EndpointView]) -> float:
    """Estimate how many entries send alike: all streams over our own.

    Bounded, because what one entry does is a noisy sample of what all do.
    """
    reported = 0
    own = 0
    for view in views:
        if view.report:
            reported += view.report.streams
            own += view.own_reported.streams
    return min(MAX_GROWTH, max(1, reported / max(1, own)))


def _mean_step_s(holders: Sequence[Holder]) -> float:
    steps_s = [holder.view.step_s(len(holder.layers)) for holder in holders]
    return sum(steps_s) / max(1, len(steps_s))
