"""Processor time of a routing decision at several pool sizes."""

import random
from time import process_time

from bench.entry_model import MODEL, VERSION
from bench.figures import Figure
from bench.pool_model import EngineModel, Events
from bench.pools import LAYERS, THRISSUR_ZONES, user_pool
from foxtailhatch.core import Holding
from foxtailhatch.routing import (
    ChainChooser,
    ChainQuery,
    Pool,
    ShortestPathChooser,
)
from foxtailhatch.routing.baselines import LeastLoadedChooser

SIZES = (40, 400, 1200)
DECISIONS = 100
MICRO = 1e6


def pool_of_size(replicas: int, rng: random.Random) -> Pool:
    """Return a pool of four accelerator kinds that hold layers of one model."""
    quarter = replicas // 4
    specs = user_pool(THRISSUR_ZONES, (quarter,) * 4, rng)
    pool = Pool(THRISSUR_ZONES[0])
    for spec in specs:
        engine = EngineModel(spec, Events())
        engine.streams = rng.randrange(spec.max_streams // 2)
        pool.add(spec.endpoint())
        holding = Holding(MODEL, VERSION, spec.layers)
        pool.update_report(engine.report(holding), 0)
    return pool


def decision_us(chooser: ChainChooser, pool: Pool) -> float:
    """Return the microseconds per decision, including opening its streams."""
    query = ChainQuery(MODEL, VERSION, LAYERS, (), 160, 48)
    started_at = process_time()
    for number in range(DECISIONS):
        chain = chooser.choose(query, pool, number).unwrap()
        for stage in chain.stages:
            pool.record_stream_opened(stage.endpoint, 160, number)
    return (process_time() - started_at) / DECISIONS * MICRO


def figures() -> list[Figure]:
    """Measure at each pool size against least-loaded routing."""
    results = []
    for replicas in SIZES:
        pool = pool_of_size(replicas, random.Random(1))
        cost = decision_us(ShortestPathChooser(rng=random.Random(2)), pool)
        other = pool_of_size(replicas, random.Random(1))
        baseline = decision_us(LeastLoadedChooser(), other)
        name = f'routing_decision_{replicas}_replicas'
        results.append(Figure(name, cost, 'us', baseline))
    return results
