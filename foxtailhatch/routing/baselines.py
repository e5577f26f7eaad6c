"""Baseline chain choosers that benchmarks compare others with.

Each starts at layer 0, selects one of the endpoints that hold the next layer
and have free capacity, and uses all layers that it holds from there on.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import chain, count

from returns.result import Failure, Result, Success

from foxtailhatch.core import Chain, ChainStage, LayerRange, Refusal
from foxtailhatch.routing.candidates import usable_holders
from foxtailhatch.routing.chooser import check_chain, no_chain_refusal
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.query import ChainQuery

HolderSelector = Callable[[Sequence[Holder]], Holder]


@dataclass(slots=True)
class RandomChooser:
    """Select endpoints uniformly at random."""

    rng: random.Random

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return a random chain."""
        return _build_chain(query, pool, self.rng.choice)


@dataclass(slots=True)
class RoundRobinChooser:
    """Select endpoints in round-robin order."""

    turn_counter: Iterator[int] = field(default_factory=count)

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return the next chain in round-robin order."""
        turn = next(self.turn_counter)
        return _build_chain(
            query, pool, lambda holders: holders[turn % len(holders)]
        )


@dataclass(slots=True)
class LeastLoadedChooser:
    """Select the endpoints with the lowest ratio of streams to capacity."""

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return the chain of the least loaded endpoints."""
        return _build_chain(
            query, pool, lambda holders: min(holders, key=_load)
        )


def _load(holder: Holder) -> float:
    report = holder.view.report
    if report is None:
        return float('inf')
    return holder.view.streams() / report.max_streams


def _build_chain(
    query: ChainQuery,
    pool: Pool,
    select: HolderSelector,
) -> Result[Chain, Refusal]:
    holders = usable_holders(
        chain.from_iterable(pool.holders(query.model, query.version)),
        query,
    )
    stages: list[ChainStage] = []
    next_layer = 0
    while next_layer < query.layer_count:
        eligible_holders = [
            holder
            for holder in holders
            if holder.layers.first <= next_layer < holder.layers.end
        ]
        if not eligible_holders:
            return Failure(no_chain_refusal(query))
        selected = select(eligible_holders)
        end = min(selected.layers.end, query.layer_count)
        name = selected.view.endpoint.name
        stages.append(ChainStage(name, LayerRange(next_layer, end)))
        next_layer = end
    selected_chain = Chain(query.model, query.version, tuple(stages))
    return Success(check_chain(selected_chain, query.layer_count))
