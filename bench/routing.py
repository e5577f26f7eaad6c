"""Measure the choice of chains: ``python -m bench.routing``.

Each policy runs on the same arrivals in model time; the baseline of our
throughput is the bound of the pool, that of the rest is least loaded.
"""

import random
from collections.abc import Iterator

from bench import decision_cost
from bench.figures import Figure
from bench.overload import ChooserMaker, LoadResult, run
from bench.pool_model import EngineSpec
from bench.pools import kalahari, thrissur
from foxtailhatch.routing import ShortestPathChooser
from foxtailhatch.routing.baselines import (
    LeastLoadedChooser,
    RandomChooser,
    RoundRobinChooser,
)

SEED = 5
POLICIES: dict[str, ChooserMaker] = {
    'least_loaded': lambda source: LeastLoadedChooser(),
    'random': RandomChooser,
    'round_robin': lambda source: RoundRobinChooser(),
    'shortest_path': lambda source: ShortestPathChooser(source=source),
}


def throughput(user: str, specs: tuple[EngineSpec, ...]) -> Iterator[Figure]:
    """Yield the figures of all policies at 1.2 times the bound."""
    least: LoadResult | None = None
    for policy, make_chooser in POLICIES.items():
        got = run(specs, make_chooser, SEED)
        least = least or got
        name = f'{user}_{policy}'
        yield Figure(f'{name}_throughput_over_bound', got.over_bound, '', 1)
        for measure in ('first_token_p95', 'between_tokens_p95'):
            yield Figure(
                f'{name}_{measure}',
                getattr(got, measure),
                's',
                getattr(least, measure),
            )
        yield Figure(
            f'{name}_first_token_p95_late_over_early',
            got.first_token_p95,
            's',
            got.first_token_p95_early,
        )


def figures() -> Iterator[Figure]:
    """Yield all figures of routing."""
    yield from throughput('thrissur', thrissur(random.Random(1)))
    yield from throughput('kalahari', kalahari(random.Random(1)))
    yield from decision_cost.figures()


def main() -> None:
    """Print one JSON object a line."""
    for figure in figures():
        print(figure.line(), flush=True)


if __name__ == '__main__':
    main()
