"""Simple ways to choose a chain, kept to measure the others against.

Each walks from layer 0 upwards, takes one of the endpoints that hold the next
layer and have room, and asks it for all that it holds from there on.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import chain, count

from returns.result import Failure, Result, Success

from foxtailhatch.core import Chain, ChainStage, LayerRange, Refusal
from foxtailhatch.routing.candidates import usable
from foxtailhatch.routing.chooser import checked, no_chain
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.query import ChainQuery

Pick = Callable[[Sequence[Holder]], Holder]


@dataclass(slots=True)
class RandomChooser:
    """Take any endpoint, each as likely as the others."""

    rng: random.Random

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return a random chain."""
        return _walk(query, pool, self.rng.choice)


@dataclass(slots=True)
class RoundRobinChooser:
    """Take the endpoints in turn."""

    turns: Iterator[int] = field(default_factory=count)

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return the chain whose turn it is."""
        turn = next(self.turns)
        return _walk(query, pool, lambda found: found[turn % len(found)])


@dataclass(slots=True)
class LeastLoadedChooser:
    """Take the endpoint with the fewest streams for its capacity."""

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return the chain of the least loaded endpoints."""
        return _walk(query, pool, lambda found: min(found, key=_load))


def _load(holder: Holder) -> float:
    report = holder.view.report
    if report is None:
        return float('inf')
    return holder.view.streams() / report.max_streams


def _walk(
    query: ChainQuery,
    pool: Pool,
    pick: Pick,
) -> Result[Chain, Refusal]:
    holders = usable(
        chain.from_iterable(pool.holders(query.model, query.version)),
        query,
    )
    stages: list[ChainStage] = []
    reached = 0
    while reached < query.layer_count:
        found = [
            holder
            for holder in holders
            if holder.layers.first <= reached < holder.layers.end
        ]
        if not found:
            return Failure(no_chain(query))
        picked = pick(found)
        end = min(picked.layers.end, query.layer_count)
        name = picked.view.endpoint.name
        stages.append(ChainStage(name, LayerRange(reached, end)))
        reached = end
    found_chain = Chain(query.model, query.version, tuple(stages))
    return Success(checked(found_chain, query.layer_count))
