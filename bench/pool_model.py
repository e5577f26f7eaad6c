"""Discrete-event model of engines whose step time depends on the batch depth.

The model covers what chain selection depends on: batches, streams, link
latency, delayed load reports and prefix caches.  It simulates no faults.
"""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from foxtailhatch.core import (
    Address,
    Chain,
    Endpoint,
    EndpointKind,
    Holding,
    LayerRange,
    LoadReport,
)
from foxtailhatch.outside import CacheEvent, CachePage

BLOCK_TOKENS = 16


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Zone, held layers and speed of an engine.

    A batch of ``n`` streams over all held layers takes ``base_s + n *
    per_stream_s`` and ``per_token_s`` for each prefilled token; a batch
    over some of the layers takes a proportional share.  ``n`` is rounded up
    to a multiple of ``pad_to``, as in engines with precompiled batch sizes.
    """

    name: str
    zone: str
    layers: LayerRange
    base_s: float
    per_stream_s: float
    per_token_s: float
    max_batch: int = 16
    max_streams: int = 256
    link_s: float = 0
    pad_to: int = 1
    cache_blocks: int = 0

    def batch_s(self, streams: int) -> float:
        """Return the duration of a decoding batch over all held layers."""
        padded = -(-streams // self.pad_to) * self.pad_to
        return self.base_s + padded * self.per_stream_s

    def endpoint(self) -> Endpoint:
        """Return the endpoint to register with the entries."""
        address = Address('127.0.0.1', 1)
        return Endpoint(self.name, address, EndpointKind.ENGINE, self.zone)


@dataclass(slots=True)
class Request:
    """A request and the progress of its answer through a chain."""

    number: int
    account: str
    arrived_at: float
    prompt_tokens: int
    answer_tokens: int
    blocks: tuple[str, ...] = ()
    chain: Chain | None = None
    generated: int = 0
    stage: int = 0
    sent_at: float = 0
    token_times: list[float] = field(default_factory=list)
    finished: Callable[['Request'], None] | None = None
    stage_done: Callable[['Request', float], None] | None = None

    @property
    def positions(self) -> int:
        """Return the number of positions that the current pass processes."""
        return 1 if self.generated else self.prompt_tokens

    def first_token_at(self) -> float:
        """Return the time at which the first token was received."""
        return self.token_times[0]

    def first_token_s(self) -> float:
        """Return the time to first token in seconds."""
        return self.first_token_at() - self.arrived_at

    def between_tokens_s(self) -> float:
        """Return the mean time between tokens in seconds."""
        duration_s = self.token_times[-1] - self.first_token_at()
        return duration_s / max(1, len(self.token_times) - 1)


class _Event(NamedTuple):
    time: float
    number: int
    callback: Callable[[], None]


class Events:
    """Simulated clock and queue of scheduled callbacks."""

    def __init__(self) -> None:
        """Create an empty queue at time zero."""
        self.now: float = 0
        self._queue: list[_Event] = []
        self._numbers = count()

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` to run ``delay_s`` seconds from now."""
        event = _Event(self.now + delay_s, next(self._numbers), callback)
        heapq.heappush(self._queue, event)

    def run_until(self, end: float) -> None:
        """Run the callbacks that are due until ``end``."""
        while self._queue and self._queue[0].time <= end:
            event = heapq.heappop(self._queue)
            self.now = event.time
            event.callback()
        self.now = end


class EngineModel:
    """Engine with continuous batching."""

    def __init__(self, spec: EngineSpec, events: Events) -> None:
        """Create an idle engine with an empty prefix cache."""
        self.spec = spec
        self.events = events
        self.streams = 0
        self.busy = False
        self.depth = 1
        self.batches = 0
        self.steps = 0
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.cache_events: list[CacheEvent] = []
        self._event_numbers = count(1)
        self._waiting: deque[Request] = deque()

    def submit(self, req: Request) -> None:
        """Queue the current pass of a request."""
        self._waiting.append(req)
        if not self.busy:
            self._begin()

    def report(self, holding: Holding) -> LoadReport:
        """Return a report of the current load."""
        return LoadReport(
            endpoint=self.spec.name,
            measured_at=self.events.now,
            streams=self.streams,
            queued_tokens=sum(
                req.positions for req in self._waiting if not req.generated
            ),
            step_seconds=self.spec.batch_s(self.depth),
            max_streams=self.spec.max_streams,
            holdings=(holding,),
        )

    def new_cache_events(self, *, lost: bool) -> CachePage:
        """Return the events since the last call, or a gap if they were lost."""
        page = CachePage(() if lost else tuple(self.cache_events), gap=lost)
        self.cache_events.clear()
        return page

    def cached_tokens(self, req: Request) -> int:
        """Return the number of prompt tokens found in the prefix cache."""
        cached = 0
        for block in req.blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            cached += BLOCK_TOKENS
        return min(cached, req.prompt_tokens - 1)

    def _begin(self) -> None:
        batch = [
            self._waiting.popleft()
            for _ in range(min(len(self._waiting), self.spec.max_batch))
        ]
        self.busy = True
        self.depth = len(batch)
        self.batches += 1
        self.steps += len(batch)
        self.events.schedule(self._duration(batch), lambda: self._end(batch))

    def _duration(self, batch: list[Request]) -> float:
        spec = self.spec
        held = len(spec.layers)
        shares = [self._requested_layers(req) / held for req in batch]
        prefill = sum(
            share * (req.positions - 1 - self._cached_prefix(req))
            for share, req in zip(shares, batch, strict=True)
        )
        padded = -(-len(batch) // spec.pad_to) * spec.pad_to / len(batch)
        return (
            spec.base_s * max(shares)
            + spec.per_stream_s * sum(shares) * padded
            + spec.per_token_s * prefill
        )

    def _cached_prefix(self, req: Request) -> int:
        return 0 if req.generated else self.cached_tokens(req)

    def _requested_layers(self, req: Request) -> int:
        assert req.chain is not None
        return len(req.chain.stages[req.stage].layers)

    def _end(self, batch: list[Request]) -> None:
        for req in batch:
            if not req.generated:
                self._cache_prompt(req)
            if req.stage_done:
                req.stage_done(req, self.events.now)
        self.busy = False
        if self._waiting:
            self._begin()

    def _cache_prompt(self, req: Request) -> None:
        for block in req.blocks:
            if block not in self.cache:
                self._record_cache_event(block, present=True)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.spec.cache_blocks:
            evicted_block, _ = self.cache.popitem(last=False)
            self._record_cache_event(evicted_block, present=False)

    def _record_cache_event(self, block: str, *, present: bool) -> None:
        number = next(self._event_numbers)
        self.cache_events.append(CacheEvent(number, block, present))


def start_poisson_arrivals(
    events: Events,
    rate: float,
    rng: random.Random,
    arrive: Callable[[], None],
) -> None:
    """Call ``arrive`` as a Poisson process of ``rate`` arrivals per second."""

    process = _PoissonProcess(events, rate, rng, arrive)
    process.schedule_next()


@dataclass(frozen=True, slots=True)
class _PoissonProcess:
    events: Events
    rate: float
    rng: random.Random
    arrive: Callable[[], None]

    def schedule_next(self) -> None:
        self.events.schedule(self.rng.expovariate(self.rate), self.fire)

    def fire(self) -> None:
        self.arrive()
        self.schedule_next()
