"""Run a pool at a load against its bound and see what comes out."""

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
from bench.pool_model import EngineModel, EngineSpec, Events, Request, poisson
from bench.pools import LAYERS
from bench.shapes import (
    MEAN_ANSWER_TOKENS,
    MEAN_PROMPT_TOKENS,
    ShapeMaker,
    plain,
)
from foxtailhatch.limits import AdmissionController, AdmissionLimits
from foxtailhatch.routing import ChainChooser

ENTRIES = 8
OVERLOAD = 1.2
WARM_UP_S = 14.0
MEASURED_S = 8.0
QUEUE_WAIT_S = 2.0
RUNNING = 280
SEED = 5

ChooserMaker = Callable[[random.Random], ChainChooser]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A pool, a policy, and the load on them.

    ``load`` is a share of the pool's bound; ``running`` bounds the answers in
    progress at each entry, and ``filled`` starts with that many.
    """

    specs: Sequence[EngineSpec]
    make_chooser: ChooserMaker
    load: float = OVERLOAD
    running: int = RUNNING
    filled: bool = True
    make_shape: ShapeMaker = plain
    mean_prompt_tokens: int = MEAN_PROMPT_TOKENS
    seed: int = SEED
    warm_up_s: float = WARM_UP_S

    def bound(self) -> float:
        """Return the bound in requests a second."""
        return requests_bound(
            self.specs,
            LAYERS,
            self.mean_prompt_tokens,
            MEAN_ANSWER_TOKENS,
        )


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What a run gave; times in seconds, throughput as a share of the bound."""

    over_bound: float
    first_token_p95: float
    first_token_p95_early: float
    first_token_median: float
    between_tokens_p95: float
    refused_share: float
    refused_by_engines: int
    depth: float


class Arrivals:
    """Requests that come to entries at random."""

    def __init__(
        self,
        entries: Sequence[EntryModel],
        events: Events,
        source: random.Random,
        make_shape: ShapeMaker,
    ) -> None:
        """Start with none."""
        self.number = 0
        self._entries = entries
        self._events = events
        self._source = source
        self._make_shape = make_shape

    def start(self, scenario: Scenario) -> None:
        """Let requests come from now on."""
        if scenario.filled:
            for _ in range(ENTRIES * scenario.running):
                self._events.after(self._source.random(), self.arrive)
        rate = scenario.load * scenario.bound()
        poisson(self._events, rate, self._source, self.arrive)

    def arrive(self) -> None:
        """Let one request come."""
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
    """Run one pool with one policy."""
    source = random.Random(scenario.seed)
    events = Events()
    engines = {spec.name: EngineModel(spec, events) for spec in scenario.specs}
    outcomes = Outcomes()
    entries = _entries(scenario, engines, events, outcomes)
    for engine in engines.values():
        reporter = LoadReporter(engine, entries, events, source)
        reporter.start(source.random() * REPORT_EVERY_S)
    arrivals = Arrivals(entries, events, source, scenario.make_shape)
    arrivals.start(scenario)
    events.run_until(scenario.warm_up_s + MEASURED_S)
    return _result(scenario, outcomes, engines.values(), arrivals.number)


def _entries(
    scenario: Scenario,
    engines: dict[str, EngineModel],
    events: Events,
    outcomes: Outcomes,
) -> list[EntryModel]:
    bounds = AdmissionLimits(
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
            AdmissionController(bounds),
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
    began = scenario.warm_up_s
    counted = sum(1 for at in outcomes.token_times if at > began)
    middle = began + MEASURED_S / 2
    late = [req for req in outcomes.finished if req.began_at() > middle]
    early = [
        req for req in outcomes.finished if began < req.began_at() <= middle
    ]
    waits = [req.first_token_s() for req in late]
    return LoadResult(
        counted / MEASURED_S / (scenario.bound() * MEAN_ANSWER_TOKENS),
        _at_share(waits, 19),
        _at_share([req.first_token_s() for req in early], 19),
        _at_share(waits, 10),
        _at_share([req.between_tokens_s() for req in late], 19),
        outcomes.refused / arrived,
        outcomes.refused_by_engines,
        _depth(engines),
    )


def _depth(engines: Collection[EngineModel]) -> float:
    steps = sum(engine.steps for engine in engines)
    return steps / sum(engine.batches for engine in engines)


def _at_share(figures: Sequence[float], twentieths: int) -> float:
    return quantiles(figures, n=20)[twentieths - 1]
