"""Who offers what to a query, before any path is sought."""

import random
from collections.abc import Iterable, Mapping, Sequence

from foxtailhatch.routing.candidates import candidates, eligible
from foxtailhatch.routing.costs import CostWeights, Means, Offer, OfferMaker
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.view import DEFAULT_STEP_S, EndpointView

MAX_GROWTH = 8.0
BEST_OFFERS = 2


def offers(
    query: ChainQuery,
    pool: Pool,
    weights: CostWeights,
    rng: random.Random,
    now: float,
) -> list[Offer]:
    """Return the best offers that usable endpoints make to a query."""
    cached = pool.prefix_index.cached_tokens(query.prompt_blocks, now)
    groups = [
        candidates(group, query, rng, cached.keys())
        for group in pool.holders(query.model, query.version)
    ]
    maker = _maker(query, pool, weights, groups, cached, now)
    found = [
        offer
        for group in groups
        for offer in best_offers(maker.fresh_of(group))
    ]
    for stage in query.kept_stages:
        view = pool.views.get(stage.endpoint)
        if view and eligible(view, query):
            found.append(maker.kept(stage, view))
    return found


def _maker(
    query: ChainQuery,
    pool: Pool,
    weights: CostWeights,
    groups: Iterable[Iterable[Holder]],
    cached: Mapping[str, float],
    now: float,
) -> OfferMaker:
    holders = [holder for group in groups for holder in group]
    growth = growth_of(holder.view for holder in holders)
    mean = _means(holders)
    return OfferMaker(query, pool, weights, growth, mean, cached, now)


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


def growth_of(views: Iterable[EndpointView]) -> float:
    """Estimate how many entries send alike: all streams over our own.

    Bounded, because what one entry does is a noisy sample of what all do.
    """
    reported = 0
    own = 0
    for view in views:
        if view.report:
            reported += view.report.streams
            own += view.own_load_at_report.streams
    return min(MAX_GROWTH, max(1, reported / max(1, own)))


def _means(holders: Sequence[Holder]) -> Means:
    if not holders:
        return Means(DEFAULT_STEP_S, 1)
    steps_s = sum(holder.view.step_s() for holder in holders)
    layers = sum(len(holder.layers) for holder in holders)
    return Means(steps_s / len(holders), layers / len(holders))
