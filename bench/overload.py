"""Simulate a pool at a given share of its throughput bound."""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from statistics import quantiles

from bench.bound import requests_bound
from bench.entry_model import (
    REPORT_EVERY_S,
    EntryModel,
    LoadReporter,
    Outcomes,
)
from bench.pool_model import (
    EngineModel,
    EngineSpec,
    Events,
    Request,
    start_poisson_arrivals,
)
from bench.pools import LAYERS
from bench.shapes import (
    MEAN_ANSWER_TOKENS,
    MEAN_PROMPT_TOKENS,
    ShapeMaker,
    without_shared_prefix,
)
from foxtailhatch.limits import AdmissionController, AdmissionLimits
from foxtailhatch.routing import ChainChooser

ENTRIES = 8
OVERLOAD = 1.2
WARM_UP_S = 14.0
MEASURED_S = 8.0
QUEUE_WAIT_S = 2.0
MAX_RUNNING = 280
SEED = 5

ChooserMaker = Callable[[random.Random], ChainChooser]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A pool, a routing policy, and the offered load.

    ``load`` is a share of the pool's bound; ``running`` limits the answers in
    progress at each entry; with ``start_full``, that many for
    each entry arrive in the first second.
    """

    specs: Sequence[EngineSpec]
    make_chooser: ChooserMaker
    load: float = OVERLOAD
    running: int = MAX_RUNNING
    start_full: bool = True
    make_shape: ShapeMaker = without_shared_prefix
    mean_prompt_tokens: int = MEAN_PROMPT_TOKENS
    seed: int = SEED
    warm_up_s: float = WARM_UP_S

    def bound(self) -> float:
        """Return the throughput bound of the pool in requests per second."""
        return requests_bound(
            self.specs,
            LAYERS,
            self.mean_prompt_tokens,
            MEAN_ANSWER_TOKENS,
        )


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Results of a run: times in seconds, throughput as a share of the bound."""

    over_bound: float
    first_token_p95: float
    first_token_p95_early: float
    first_token_median: float
    between_tokens_p95: float
    refused_share: float
    refused_by_engines: int
    depth: float


class Arrivals:
    """Poisson arrivals of requests at random entries."""

    def __init__(
        self,
        entries: Sequence[EntryModel],
        events: Events,
        rng: random.Random,
        make_shape: ShapeMaker,
    ) -> None:
        """Create the process without arrivals."""
        self.number = 0
        self._entries = entries
        self._events = events
        self._source = rng
        self._make_shape = make_shape

    def start(self, scenario: Scenario) -> None:
        """Start the arrivals."""
        if scenario.start_full:
            for _ in range(ENTRIES * scenario.running):
                self._events.schedule(self._source.random(), self.arrive)
        rate = scenario.load * scenario.bound()
        start_poisson_arrivals(self._events, rate, self._source, self.arrive)

    def arrive(self) -> None:
        """Submit a new request to a random entry."""
        self.number += 1
        shape = self._make_shape(self._source)
        req = Request(
            self.number,
            f'account-{self.number % 10}',
            self._events.now,
            shape.prompt_tokens,
            shape.answer_tokens,
            shape.blocks,
        )
        self._source.choice(self._entries).arrive(req)


def run(scenario: Scenario) -> LoadResult:
    """Simulate a scenario and return its results."""
    rng = random.Random(scenario.seed)
    events = Events()
    engines = {spec.name: EngineModel(spec, events) for spec in scenario.specs}
    outcomes = Outcomes()
    entries = _entries(scenario, engines, events, outcomes)
    for engine in engines.values():
        reporter = LoadReporter(engine, entries, events, rng)
        reporter.start(rng.random() * REPORT_EVERY_S)
    arrivals = Arrivals(entries, events, rng, scenario.make_shape)
    arrivals.start(scenario)
    events.run_until(scenario.warm_up_s + MEASURED_S)
    return _result(scenario, outcomes, engines.values(), arrivals.number)


def _entries(
    scenario: Scenario,
    engines: dict[str, EngineModel],
    events: Events,
    outcomes: Outcomes,
) -> list[EntryModel]:
    admission_limits = AdmissionLimits(
        scenario.running,
        4 * scenario.running,
        QUEUE_WAIT_S,
    )
    return [
        EntryModel(
            scenario.specs[number].zone,
            engines,
            events,
            scenario.make_chooser(random.Random(scenario.seed + number)),
            AdmissionController(admission_limits),
            outcomes,
            LAYERS,
        )
        for number in range(ENTRIES)
    ]


def _result(
    scenario: Scenario,
    outcomes: Outcomes,
    engines: Collection[EngineModel],
    arrived: int,
) -> LoadResult:
    measured_from = scenario.warm_up_s
    token_count = sum(1 for at in outcomes.token_times if at > measured_from)
    middle = measured_from + MEASURED_S / 2
    late = [req for req in outcomes.finished if req.first_token_at() > middle]
    early = [
        req
        for req in outcomes.finished
        if measured_from < req.first_token_at() <= middle
    ]
    waits = [req.first_token_s() for req in late]
    return LoadResult(
        token_count / MEASURED_S / (scenario.bound() * MEAN_ANSWER_TOKENS),
        _quantile(waits, 19),
        _quantile([req.first_token_s() for req in early], 19),
        _quantile(waits, 10),
        _quantile([req.between_tokens_s() for req in late], 19),
        outcomes.refused / arrived,
        outcomes.refused_by_engines,
        _mean_batch_depth(engines),
    )


def _mean_batch_depth(engines: Collection[EngineModel]) -> float:
    steps = sum(engine.steps for engine in engines)
    return steps / sum(engine.batches for engine in engines)


def _quantile(figures: Sequence[float], twentieths: int) -> float:
    return quantiles(figures, n=20)[twentieths - 1]
