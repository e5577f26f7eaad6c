"""Simulated entries, each with a pool, a chain chooser and admission control."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Success

from bench.pool_model import EngineModel, Events, Request
from bench.pools import OTHER_ZONE_ONE_WAY_S, SAME_ZONE_ONE_WAY_S
from foxtailhatch.core import Caller, Chain, Holding, LoadReport
from foxtailhatch.limits import AdmissionController, Ticket
from foxtailhatch.outside import CachePage
from foxtailhatch.routing import ChainChooser, ChainQuery, Pool

REPORT_EVERY_S = 0.5
REPORT_LAG_S = 0.5
MODEL = 'guidance'
VERSION = '1'
OPEN_ATTEMPTS = 3
LOST_EVENTS_SHARE = 0.1


@dataclass(slots=True)
class Outcomes:
    """Finished and refused requests of a run."""

    finished: list[Request] = field(default_factory=list)
    token_times: list[float] = field(default_factory=list)
    refused: int = 0
    refused_by_engines: int = 0
    requeued: int = 0


class EntryModel:
    """Entry that admits requests, chooses chains and relays between engines."""

    def __init__(
        self,
        zone: str,
        engines: Mapping[str, EngineModel],
        events: Events,
        chooser: ChainChooser,
        admission: AdmissionController,
        outcomes: Outcomes,
        layers: int,
    ) -> None:
        """Register all endpoints with the pool, without any load reports."""
        self.zone = zone
        self.engines = engines
        self.events = events
        self.chooser = chooser
        self.admission = admission
        self.outcomes = outcomes
        self.layers = layers
        self.pool = Pool(zone)
        self.requests: dict[str, Request] = {}
        for engine in engines.values():
            self.pool.add(engine.spec.endpoint())

    def arrive(self, req: Request, deadline_s: float | None = None) -> None:
        """Submit a request to admission control and start what is ready."""
        now = self.events.now
        ticket = Ticket(
            str(req.number),
            Caller(req.account, req.account),
            now,
            work=req.answer_tokens,
            deadline=None if deadline_s is None else now + deadline_s,
        )
        match self.admission.submit(ticket, now):
            case Success(queued):
                self.requests[ticket.ticket_id] = req
                for eviction in queued.evicted:
                    self._refuse(eviction.ticket)
                self.start_queued()
            case Failure():
                self.outcomes.refused += 1

    def start_queued(self) -> None:
        """Start the queued requests that admission control allows."""
        now = self.events.now
        for expired in self.admission.expire(now):
            self._refuse(expired.ticket)
        started = self.admission.start_ready(now)
        self.pool.queued_requests = len(self.admission.waiting)
        for index, ticket in enumerate(started):
            if not self._start(self.requests[ticket.ticket_id]):
                for pending in reversed(started[index:]):
                    self.admission.requeue(pending.ticket_id)
                    self.outcomes.requeued += 1
                break

    def one_way_s(self, engine: EngineModel) -> float:
        """Return the one-way latency to an engine in seconds."""
        same = engine.spec.zone == self.zone
        latency_s = SAME_ZONE_ONE_WAY_S if same else OTHER_ZONE_ONE_WAY_S
        return latency_s + engine.spec.link_s

    def query(self, req: Request, excluded: frozenset[str]) -> ChainQuery:
        """Return the chain query for a request."""
        return ChainQuery(
            MODEL,
            VERSION,
            self.layers,
            req.blocks,
            req.prompt_tokens,
            req.answer_tokens,
            excluded,
        )

    def _refuse(self, ticket: Ticket) -> None:
        self.requests.pop(ticket.ticket_id)
        self.outcomes.refused += 1

    def _start(self, req: Request) -> bool:
        excluded: frozenset[str] = frozenset()
        for _ in range(OPEN_ATTEMPTS):
            query = self.query(req, excluded)
            chosen = self.chooser.choose(query, self.pool, self.events.now)
            if isinstance(chosen, Failure):
                return False
            chain = chosen.unwrap()
            saturated = self._saturated(chain)
            if not saturated:
                self._open(req, chain)
                return True
            excluded |= saturated
            self.outcomes.refused_by_engines += 1
        return False

    def _saturated(self, chain: Chain) -> frozenset[str]:
        stage_engines = [self.engines[stage.endpoint] for stage in chain.stages]
        return frozenset(
            engine.spec.name
            for engine in stage_engines
            if engine.streams >= engine.spec.max_streams
        )

    def _open(self, req: Request, chain: Chain) -> None:
        now = self.events.now
        for stage in chain.stages:
            self.engines[stage.endpoint].streams += 1
            self.pool.record_stream_opened(
                stage.endpoint, req.prompt_tokens, now
            )
        req.chain = chain
        req.stage_done = self._stage_done
        self._send(req, 0)

    def _send(self, req: Request, return_delay_s: float) -> None:
        assert req.chain is not None
        engine = self.engines[req.chain.stages[req.stage].endpoint]
        req.sent_at = self.events.now + return_delay_s
        delay_s = return_delay_s + self.one_way_s(engine)
        self.events.schedule(delay_s, lambda: engine.submit(req))

    def _stage_done(self, req: Request, now: float) -> None:
        assert req.chain is not None
        stage = req.chain.stages[req.stage]
        return_delay_s = self.one_way_s(self.engines[stage.endpoint])
        self._observe(
            req, stage.endpoint, len(stage.layers), now + return_delay_s
        )
        req.stage += 1
        if req.stage == len(req.chain.stages):
            req.stage = 0
            req.generated += 1
            req.token_times.append(now + return_delay_s)
            self.outcomes.token_times.append(now + return_delay_s)
            if req.generated == req.answer_tokens:
                self.events.schedule(return_delay_s, lambda: self._finish(req))
                return
        self._send(req, return_delay_s)

    def _observe(
        self,
        req: Request,
        endpoint: str,
        layers: int,
        received_at: float,
    ) -> None:
        seconds = received_at - req.sent_at
        if req.generated:
            self.pool.observe_step(endpoint, layers, seconds, received_at)
            return
        tokens = req.prompt_tokens
        self.pool.record_prefilled(endpoint, tokens, received_at)
        self.pool.prefix_index.record_prefilled(
            endpoint, req.blocks, received_at
        )
        self.pool.observe_prefill(endpoint, layers, tokens, seconds)

    def _finish(self, req: Request) -> None:
        assert req.chain is not None
        for stage in req.chain.stages:
            self.engines[stage.endpoint].streams -= 1
            self.pool.record_stream_closed(stage.endpoint, self.events.now)
        self.requests.pop(str(req.number))
        self.admission.finish(str(req.number), self.events.now)
        self.outcomes.finished.append(req)
        self.start_queued()


@dataclass(frozen=True, slots=True)
class LoadReporter:
    """Send periodic load reports of an engine to all entries with a delay.

    A share of :data:`LOST_EVENTS_SHARE` of the cache event pages is lost.
    """

    engine: EngineModel
    entries: Sequence[EntryModel]
    events: Events
    rng: random.Random

    def start(self, delay_s: float) -> None:
        """Deliver the current load at once and the next report after ``delay_s``."""
        self._deliver(self._load(), CachePage((), gap=False))
        self.events.schedule(delay_s, self._report)

    def _load(self) -> LoadReport:
        layers = self.engine.spec.layers
        return self.engine.report(Holding(MODEL, VERSION, layers))

    def _report(self) -> None:
        load = self._load()
        lost = self.rng.random() < LOST_EVENTS_SHARE
        page = self.engine.new_cache_events(lost=lost)
        self.events.schedule(REPORT_LAG_S, lambda: self._deliver(load, page))
        self.events.schedule(REPORT_EVERY_S, self._report)

    def _deliver(self, load: LoadReport, page: CachePage) -> None:
        now = self.events.now
        for entry in self.entries:
            entry.pool.update_report(load, now)
            entry.pool.prefix_index.apply_events(load.endpoint, page, now)
