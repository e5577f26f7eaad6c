"""Latency and appends of claims at one entry, in virtual time."""

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from statistics import quantiles

from bench.claim_costs import ANSWER, START, claim_request
from bench.memory_log import MemoryLog
from bench.report import report
from foxtailhatch.durable import (
    AppendClaimBatch,
    ClaimManager,
    ClaimSettings,
    MayRun,
    ReadStream,
)
from foxtailhatch.outside import LogPage

Call = Callable[[float], None]

TICK_S = 0.002
DURATION_S = 20
CALLS_S = (0.01, 0.5)
RATES = (1, 10, 67, 300)
LAST_TWENTIETH = 18


class VirtualEntry:
    """One entry whose calls of the log take ``call_s``."""

    def __init__(self, call_s: float) -> None:
        """Start with an empty log."""
        self.manager = ClaimManager(
            'entry-1',
            ClaimSettings(1, 86_400.0),
            random.Random(1),
        )
        self.manager.follow([0])
        self.appends = 0
        self.latencies: list[float] = []
        self._log = MemoryLog()
        self._call_s = call_s
        self._began: dict[str, float] = {}
        self._order = count()
        self._due: list[tuple[float, int, Call]] = []

    def claim(self, now: float, number: int) -> None:
        """Take one request in."""
        req = claim_request(number)
        self._began[req.request_id] = now
        assert self.manager.submit(now, req, log_up=True) is None

    def turn(self, now: float) -> None:
        """Start the calls that are due and take those that are done."""
        for action in self.manager.due_actions(now):
            match action:
                case AppendClaimBatch():
                    self._append(now, action)
                case ReadStream():
                    self._read(now, action)
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2](now)

    def _append(self, now: float, action: AppendClaimBatch) -> None:
        """Land half-way through the call, and answer at its end."""
        self.appends += 1
        land = partial(self._log.append, action.stream, action.body)
        answer = partial(self._appended, action)
        self._later(now + self._call_s / 2, land)
        self._later(now + self._call_s, answer)

    def _appended(self, action: AppendClaimBatch, now: float) -> None:
        self.manager.handle_append(now, action.stream, action.batch_id)

    def _read(self, now: float, action: ReadStream) -> None:
        """Read half-way through the call, and answer at its end."""
        self._later(now + self._call_s / 2, partial(self._look, action))

    def _look(self, action: ReadStream, now: float) -> None:
        page = self._log.read(action.stream, action.offset)
        answer = partial(self._page_read, action, page)
        self._later(now + self._call_s / 2, answer)

    def _page_read(
        self,
        action: ReadStream,
        page: LogPage,
        now: float,
    ) -> None:
        for decision in self.manager.handle_page(now, action.stream, page):
            assert isinstance(decision, MayRun)
            self._run(now, decision.request_id)

    def _run(self, now: float, request_id: str) -> None:
        self.latencies.append(now - self._began.pop(request_id))
        self.manager.authorize_send(now, request_id)
        self.manager.record_outcome(request_id, ANSWER)

    def _later(self, at: float, call: Call) -> None:
        heapq.heappush(self._due, (at, next(self._order), call))


def run(call_s: float, rate: int) -> VirtualEntry:
    """Claim at a rate, at random moments, and return the entry."""
    rng = random.Random(rate)
    entry = VirtualEntry(call_s)
    number = 0
    next_at = rng.expovariate(rate)
    for tick in range(int(DURATION_S / TICK_S)):
        elapsed = tick * TICK_S
        while next_at <= elapsed:
            entry.claim(START + elapsed, number)
            number += 1
            next_at += rng.expovariate(rate)
        entry.turn(START + elapsed)
    return entry


def measure_claim_latency() -> None:
    """Report the time until a request may run, and the appends."""
    for call_s in CALLS_S:
        for rate in RATES:
            entry = run(call_s, rate)
            p95 = quantiles(entry.latencies, n=20)[LAST_TWENTIETH]
            report(
                'time from a request to its right to run, 95 in 100',
                round(p95, 3),
                's',
                2 * call_s,
                baseline_is='one append and one read',
                claims_per_s=rate,
                appends_per_s=round(entry.appends / DURATION_S, 1),
                records_per_s=2 * rate,
                call_s=call_s,
            )
