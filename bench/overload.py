"""Run a pool at a load over its bound and see what comes out."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import mean, quantiles

from bench.bound import requests_bound
from bench.entry_model import (
    REPORT_EVERY_S,
    EntryModel,
    LoadReporter,
    Outcomes,
)
from bench.pool_model import EngineModel, EngineSpec, Events, Request, poisson
from bench.pools import LAYERS
from foxtailhatch.limits import Admission, AdmissionBounds
from foxtailhatch.routing import ChainChooser

ENTRIES = 8
MEAN_PROMPT_TOKENS = 160
MEAN_ANSWER_TOKENS = 48
SHORTEST_ANSWER = 8
OVERLOAD = 1.2
FILL_SHARE = 1
WARM_UP_S = 7.0
MEASURED_S = 8.0
QUEUE_WAIT_S = 2.0
RUNNING = 280

ChooserMaker = Callable[[random.Random], ChainChooser]


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What a run gave; times in seconds, throughput as a share of the bound."""

    over_bound: float
    first_token_p95: float
    first_token_p95_early: float
    between_tokens_p95: float
    refused_share: float
    refused_by_engines: int
    depth: float


def sizes(source: random.Random) -> tuple[int, int]:
    """Return the prompt and answer tokens of a request at random."""
    prompt = source.randint(
        MEAN_PROMPT_TOKENS // 2, 3 * MEAN_PROMPT_TOKENS // 2
    )
    longer = source.expovariate(1 / (MEAN_ANSWER_TOKENS - SHORTEST_ANSWER))
    return prompt, SHORTEST_ANSWER + round(longer)


def run(
    specs: Sequence[EngineSpec],
    make_chooser: ChooserMaker,
    seed: int,
    load: float = OVERLOAD,
    running: int = RUNNING,
) -> LoadResult:
    """Run one pool with one policy."""
    source = random.Random(seed)
    events = Events()
    engines = {spec.name: EngineModel(spec, events) for spec in specs}
    outcomes = Outcomes()
    entries = [
        EntryModel(
            specs[number].zone,
            engines,
            events,
            make_chooser(random.Random(seed + number)),
            Admission(AdmissionBounds(running, 4 * running, QUEUE_WAIT_S)),
            outcomes,
            LAYERS,
        )
        for number in range(ENTRIES)
    ]
    for engine in engines.values():
        reporter = LoadReporter(engine, entries, events)
        reporter.start(source.random() * REPORT_EVERY_S)
    bound = requests_bound(
        specs, LAYERS, MEAN_PROMPT_TOKENS, MEAN_ANSWER_TOKENS
    )
    arrivals = _Arrivals(entries, events, source)
    for _ in range(FILL_SHARE * ENTRIES * running):
        events.after(source.random(), arrivals.arrive)
    poisson(events, load * bound, source, arrivals.arrive)
    events.run_until(WARM_UP_S + MEASURED_S)
    return _result(outcomes, engines, bound, arrivals.number)


class _Arrivals:
    """Requests that come to entries at random."""

    def __init__(
        self,
        entries: Sequence[EntryModel],
        events: Events,
        source: random.Random,
    ) -> None:
        self.number = 0
        self._entries = entries
        self._events = events
        self._source = source

    def arrive(self) -> None:
        self.number += 1
        prompt, answer = sizes(self._source)
        req = Request(
            self.number,
            f'account-{self.number % 10}',
            self._events.now,
            prompt,
            answer,
        )
        self._source.choice(self._entries).arrive(req)


def _result(
    outcomes: Outcomes,
    engines: dict[str, EngineModel],
    bound: float,
    arrived: int,
) -> LoadResult:
    end = WARM_UP_S + MEASURED_S
    counted = sum(1 for at in outcomes.token_times if WARM_UP_S < at <= end)
    middle = WARM_UP_S + MEASURED_S / 2
    late = [req for req in outcomes.finished if req.began_at() > middle]
    early = [
        req for req in outcomes.finished if WARM_UP_S < req.began_at() <= middle
    ]
    steps = sum(engine.steps for engine in engines.values())
    batches = sum(engine.batches for engine in engines.values())
    return LoadResult(
        counted / MEASURED_S / (bound * MEAN_ANSWER_TOKENS),
        _p95([req.first_token_s() for req in late]),
        _p95([req.first_token_s() for req in early]),
        _p95([req.between_tokens_s() for req in late]),
        outcomes.refused / arrived,
        outcomes.refused_by_engines,
        steps / batches,
    )


def _p95(values: Sequence[float]) -> float:
    return quantiles(values, n=20)[-1] if len(values) > 1 else mean(values)
