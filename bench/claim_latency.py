"""Latency and appends of claims at one entry, in virtual time."""

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from statistics import quantiles

from bench.claim_costs import OUTCOME, START, claim_request
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

Callback = Callable[[float], None]

TICK_S = 0.002
DURATION_S = 20
LOG_CALL_TIMES_S = (0.01, 0.5)
RATES = (1, 10, 67, 300)
P95_INDEX = 18


class VirtualEntry:
    """Entry whose calls to the log take ``call_s`` seconds."""

    def __init__(self, call_s: float) -> None:
        """Create an entry with an empty log."""
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
        self._submitted_at: dict[str, float] = {}
        self._order = count()
        self._queue: list[tuple[float, int, Callback]] = []

    def claim(self, now: float, number: int) -> None:
        """Submit a claim for a request."""
        req = claim_request(number)
        self._submitted_at[req.request_id] = now
        assert self.manager.submit(now, req, log_up=True) is None

    def step(self, now: float) -> None:
        """Start log calls that are due and handle those that completed."""
        for action in self.manager.due_actions(now):
            match action:
                case AppendClaimBatch():
                    self._append(now, action)
                case ReadStream():
                    self._read(now, action)
        while self._queue and self._queue[0][0] <= now:
            heapq.heappop(self._queue)[2](now)

    def _append(self, now: float, action: AppendClaimBatch) -> None:
        """Append half-way through the call, and acknowledge at its end."""
        self.appends += 1
        store_record = partial(self._log.append, action.stream, action.body)
        complete = partial(self._appended, action)
        self._schedule(now + self._call_s / 2, store_record)
        self._schedule(now + self._call_s, complete)

    def _appended(self, action: AppendClaimBatch, now: float) -> None:
        self.manager.handle_append(now, action.stream, action.batch_id)

    def _read(self, now: float, action: ReadStream) -> None:
        """Read half-way through the call, and return the page at its end."""
        self._schedule(now + self._call_s / 2, partial(self._read_page, action))

    def _read_page(self, action: ReadStream, now: float) -> None:
        page = self._log.read(action.stream, action.offset)
        complete = partial(self._handle_page, action, page)
        self._schedule(now + self._call_s / 2, complete)

    def _handle_page(
        self,
        action: ReadStream,
        page: LogPage,
        now: float,
    ) -> None:
        for decision in self.manager.handle_page(now, action.stream, page):
            assert isinstance(decision, MayRun)
            self._run(now, decision.request_id)

    def _run(self, now: float, request_id: str) -> None:
        self.latencies.append(now - self._submitted_at.pop(request_id))
        self.manager.authorize_send(now, request_id)
        self.manager.record_outcome(request_id, OUTCOME)

    def _schedule(self, at: float, callback: Callback) -> None:
        heapq.heappush(self._queue, (at, next(self._order), callback))


def run(call_s: float, rate: int) -> VirtualEntry:
    """Run Poisson arrivals of claims at ``rate`` per second; return the entry."""
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
        entry.step(START + elapsed)
    return entry


def measure_claim_latency() -> None:
    """Report the time until a request may run, and the append rate."""
    for call_s in LOG_CALL_TIMES_S:
        for rate in RATES:
            entry = run(call_s, rate)
            p95 = quantiles(entry.latencies, n=20)[P95_INDEX]
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
