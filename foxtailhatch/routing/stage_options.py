"""Collect the stage options from which a chain is built."""

import random
from collections.abc import Iterable, Mapping, Sequence

from foxtailhatch.routing.candidates import candidate_holders, is_eligible
from foxtailhatch.routing.costs import (
    CostWeights,
    HolderMeans,
    StageCostModel,
    StageOption,
)
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.view import DEFAULT_STEP_S, EndpointView

MAX_LOAD_SCALE = 8.0
BEST_OPTIONS = 2


def stage_options(
    query: ChainQuery,
    pool: Pool,
    weights: CostWeights,
    rng: random.Random,
    now: float,
) -> list[StageOption]:
    """Return the best stage options of usable endpoints for a query."""
    cached = pool.prefix_index.cached_tokens(query.prompt_blocks, now)
    groups = [
        candidate_holders(group, query, rng, cached.keys())
        for group in pool.holders(query.model, query.version)
    ]
    cost_model = _cost_model(query, pool, weights, groups, cached, now)
    options = [
        option
        for group in groups
        for option in best_options(cost_model.new_stages(group))
    ]
    for stage in query.kept_stages:
        view = pool.views.get(stage.endpoint)
        if view and is_eligible(view, query):
            options.append(cost_model.kept_stage(stage, view))
    return options


def _cost_model(
    query: ChainQuery,
    pool: Pool,
    weights: CostWeights,
    groups: Iterable[Iterable[Holder]],
    cached: Mapping[str, float],
    now: float,
) -> StageCostModel:
    holders = [holder for group in groups for holder in group]
    load_scale = estimate_load_scale(holder.view for holder in holders)
    mean = _means(holders)
    return StageCostModel(query, pool, weights, load_scale, mean, cached, now)


def best_options(options_of_range: list[StageOption]) -> list[StageOption]:
    """Return the options of one range that a cheapest path may use.

    These are the ``BEST_OPTIONS`` cheapest options for the whole range, and
    the cheapest option for a single layer of it.
    """
    if len(options_of_range) <= BEST_OPTIONS:
        return options_of_range
    by_full_cost = sorted(
        options_of_range, key=lambda option: option.cost(len(option.layers))
    )
    best = by_full_cost[:BEST_OPTIONS]
    cheapest_part = min(options_of_range, key=lambda option: option.cost(1))
    return best if cheapest_part in best else [*best, cheapest_part]


def estimate_load_scale(views: Iterable[EndpointView]) -> float:
    """Estimate how many entries send load as this one does.

    The estimate is the ratio of all reported streams to this entry's own.  It
    is at most ``MAX_LOAD_SCALE``, because the traffic of one entry is a noisy
    sample of the traffic of all.
    """
    reported = 0
    own = 0
    for view in views:
        if view.report:
            reported += view.report.streams
            own += view.own_load_at_report.streams
    return min(MAX_LOAD_SCALE, max(1, reported / max(1, own)))


def _means(holders: Sequence[Holder]) -> HolderMeans:
    if not holders:
        return HolderMeans(DEFAULT_STEP_S, 1)
    steps_s = sum(holder.view.step_s() for holder in holders)
    layers = sum(len(holder.layers) for holder in holders)
    return HolderMeans(steps_s / len(holders), layers / len(holders))
