"""Chain selection policies: ``python -m bench.routing``.

Each policy runs on the same arrivals in simulated time.  The baseline of the
throughput is the bound of the pool; that of other figures is least-loaded
routing.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from returns.result import Result

from bench import decision_cost
from bench.figures import Figure
from bench.overload import ChooserMaker, LoadResult, Scenario, run
from bench.pool_model import EngineSpec
from bench.pools import kalahari, thrissur
from bench.report import report
from bench.shapes import KALAHARI_SUMMARIES, THRISSUR_GUIDANCE, SharedPrefixes
from foxtailhatch.core import Chain, Refusal
from foxtailhatch.routing import (
    ChainChooser,
    ChainQuery,
    Pool,
    ShortestPathChooser,
)
from foxtailhatch.routing.baselines import (
    LeastLoadedChooser,
    RandomChooser,
    RoundRobinChooser,
)

LIGHT_LOAD = 0.8
LIGHT_WARM_UP_S = 7.0
CACHE_BLOCKS = 256
POLICIES: dict[str, ChooserMaker] = {
    'least_loaded': lambda rng: LeastLoadedChooser(),
    'random': RandomChooser,
    'round_robin': lambda rng: RoundRobinChooser(),
    'shortest_path': lambda rng: ShortestPathChooser(rng=rng),
}


def throughput(user: str, specs: tuple[EngineSpec, ...]) -> Iterator[Figure]:
    """Yield the figures of all policies at 1.2 times the throughput bound."""
    reference: LoadResult | None = None
    for policy, make_chooser in POLICIES.items():
        measured = run(Scenario(specs, make_chooser))
        reference = reference or measured
        name = f'{user}_{policy}'
        yield Figure(
            f'{name}_throughput_over_bound', measured.over_bound, '', 1
        )
        for measure in ('first_token_p95', 'between_tokens_p95'):
            yield Figure(
                f'{name}_{measure}',
                getattr(measured, measure),
                's',
                getattr(reference, measure),
            )
        yield Figure(
            f'{name}_first_token_p95_late_over_early',
            measured.first_token_p95,
            's',
            measured.first_token_p95_early,
        )


@dataclass(frozen=True, slots=True)
class PrefixBlindChooser:
    """Chooser that ignores the prefix blocks of a prompt."""

    chooser: ChainChooser

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Choose a chain as for a prompt without cached prefixes."""
        return self.chooser.choose(replace(query, prompt_blocks=()), pool, now)


def prefixes(
    user: str,
    specs: tuple[EngineSpec, ...],
    shapes: SharedPrefixes,
) -> Iterator[Figure]:
    """Yield latencies with and without prefix affinity, at a light load."""
    caching = [replace(spec, cache_blocks=CACHE_BLOCKS) for spec in specs]
    scenario = Scenario(
        caching,
        POLICIES['shortest_path'],
        load=LIGHT_LOAD,
        start_full=False,
        warm_up_s=LIGHT_WARM_UP_S,
        make_shape=shapes,
        mean_prompt_tokens=shapes.mean_prompt_tokens(),
    )
    informed = run(scenario)
    blind = run(
        replace(
            scenario,
            make_chooser=lambda rng: PrefixBlindChooser(
                ShortestPathChooser(rng=rng),
            ),
        ),
    )
    for measure in (
        'first_token_median',
        'first_token_p95',
        'between_tokens_p95',
    ):
        yield Figure(
            f'{user}_prefix_{measure}',
            getattr(informed, measure),
            's',
            getattr(blind, measure),
        )


def figures() -> Iterator[Figure]:
    """Yield all routing figures."""
    yield from throughput('thrissur', thrissur(random.Random(1)))
    yield from throughput('kalahari', kalahari(random.Random(1)))
    yield from prefixes(
        'thrissur',
        thrissur(random.Random(1)),
        THRISSUR_GUIDANCE,
    )
    yield from prefixes(
        'kalahari',
        kalahari(random.Random(1)),
        KALAHARI_SUMMARIES,
    )
    yield from decision_cost.figures()


def main() -> None:
    """Print one JSON object per line."""
    for figure in figures():
        report(figure.measure, figure.figure, figure.unit, figure.baseline)


if __name__ == '__main__':
    main()
