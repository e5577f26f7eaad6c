"""The queue of one service for requests that wait for capacity.

It decides the order of starts, who is refused, and when refused callers should
come back.  The time and the random source are arguments.
"""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from random import Random
from statistics import median

from foxtailhatch.limits.fair_shares import FairShares
from foxtailhatch.limits.start_rate import StartRate

MAX_WAITING = 256
MAX_BODY_BYTES = 16_000_000
# A request for which there is no chain lets this many others overtake it.
MAX_OVERTAKEN = 8
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
# Part of the estimate by which the times of refused callers are spread out.
RETRY_JITTER = 0.5
# Time to the first event before any was measured; the usual one is 0.08 s.
INITIAL_FIRST_EVENT_S = 0.1
FIRST_EVENTS_KEPT = 64
# Bound on the refused requests that are expected to come back.
MAX_EXPECTED_BACK = 1024


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for capacity.

    It is refused if it has not started at ``latest_start_at``.  ``rank`` 0 is
    the most urgent; ``tokens`` is what it adds to the KV cache.
    """

    request_id: str
    rank: int
    account: str
    tokens: float
    body_bytes: int
    arrived_at: float
    latest_start_at: float
    entered_at: float = 0
    overtaken: int = 0
    is_charged: bool = False
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class Place:
    """Requests ahead of a waiting one, and the estimated time to its start.

    ``estimate_s`` is ``None`` while the rate of starts is not known.
    """

    ahead: int
    estimate_s: float | None


@dataclass(slots=True)
class _Rank:
    """State of one rank; ``rate`` also counts the more urgent ranks."""

    shares: FairShares = field(default_factory=FairShares)
    rate: StartRate = field(default_factory=StartRate)
    refused: deque[tuple[float, float]] = field(default_factory=deque)

    def tokens_expected_back(self, now: float) -> float:
        """Return the tokens of refused requests that have not come back yet."""
        while self.refused and self.refused[0][0] <= now:
            self.refused.popleft()
        return sum(tokens for back_at, tokens in self.refused if back_at > now)


class CapacityQueue:
    """Waiting requests by urgency, then fair shares of accounts, then age.

    >>> queue = CapacityQueue()
    >>> late = WaitingRequest('late', 1, 'a', 100, 0, 0, latest_start_at=1)
    >>> soon = WaitingRequest('soon', 0, 'a', 100, 0, 0, latest_start_at=1)
    >>> queue.enter(late, now=0), queue.enter(soon, now=0)
    ([], [])
    >>> [one.request_id for one in queue.in_order()]
    ['soon', 'late']
    """

    def __init__(
        self,
        max_waiting: int = MAX_WAITING,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Start empty, with limits on requests and on bytes of bodies."""
        self._max_waiting = max_waiting
        self._max_body_bytes = max_body_bytes
        self._waiting: dict[WaitingRequest, None] = {}
        self._sequence = 0
        self._ranks: dict[int, _Rank] = defaultdict(_Rank)
        self._first_events: deque[float] = deque(maxlen=FIRST_EVENTS_KEPT)
        self._body_bytes = 0
        self._mean_tokens: float = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def __contains__(self, req: WaitingRequest) -> bool:
        """Return whether a request waits."""
        return req in self._waiting

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the bodies of all waiting requests."""
        return self._body_bytes

    @property
    def expected_first_event_s(self) -> float:
        """Return the median time from a start to its first event."""
        if not self._first_events:
            return INITIAL_FIRST_EVENT_S
        return median(self._first_events)

    def record_first_event(self, seconds: float) -> None:
        """Record the time from a start to its first event."""
        self._first_events.append(seconds)

    def enter(self, req: WaitingRequest, now: float) -> list[WaitingRequest]:
        """Add a request; return those that are dropped for want of room.

        They are the last ones in queue order, which may include the new one.
        A request that enters again, after an endpoint refused it, gets back
        what its account was charged.
        """
        if req.is_charged:
            shares = self._ranks[req.rank].shares
            shares.charge(req.account, -req.tokens, 1)
            req.is_charged = False
        else:
            self._activate(req)
        req.entered_at = now
        self._waiting[req] = None
        self._body_bytes += req.body_bytes
        self._update_contention(now)
        return self._drop_excess(now) if self._has_excess else []

    def in_order(self) -> list[WaitingRequest]:
        """Return the waiting requests in the order of their starts."""
        oldest_first = sorted(
            self._waiting, key=lambda req: (req.arrived_at, req.sequence)
        )
        ahead: dict[tuple[int, str], float] = defaultdict(float)
        keys: dict[WaitingRequest, tuple[int, float]] = {}
        for req in oldest_first:
            account = (req.rank, req.account)
            shares = self._ranks[req.rank].shares
            begun = shares.virtual_times.get(req.account, shares.virtual_time)
            keys[req] = (req.rank, begun + ahead[account])
            ahead[account] += req.tokens
        return sorted(oldest_first, key=keys.__getitem__)

    def place_of(self, req: WaitingRequest, now: float) -> Place:
        """Return the place of a request, and when it should start.

        One that was dropped for want of room would be behind all others.
        """
        order = self.in_order()
        ahead = order[: order.index(req)] if req in order else order
        rate = self._rate_of(req.rank, now)
        if rate is None:
            return Place(len(ahead), None)
        return Place(len(ahead), sum(one.tokens for one in ahead) / rate)

    def start(self, req: WaitingRequest, now: float) -> None:
        """Remove a request that is sent, and charge its account."""
        self._remove(req)
        shares = self._ranks[req.rank].shares
        shares.serve(req.account, req.tokens, 1)
        req.is_charged = True
        if req.entered_at < now:
            for rank, state in self._ranks.items():
                if rank >= req.rank:
                    state.rate.record_start(req.tokens, now)
        self._update_contention(now)

    def leave(self, req: WaitingRequest, now: float) -> None:
        """Remove a request that is not to start any more, if it waits."""
        if req in self._waiting:
            self._remove(req)
            self._update_contention(now)

    def expired(self, now: float) -> list[WaitingRequest]:
        """Return the requests that would start too late, in queue order."""
        return [req for req in self.in_order() if req.latest_start_at <= now]

    def next_expiry(self) -> float:
        """Return when the next waiting request would start too late."""
        return min(
            (req.latest_start_at for req in self._waiting),
            default=float('inf'),
        )

    def counts(self) -> Counter[int]:
        """Return the number of waiting requests of each rank."""
        return Counter(req.rank for req in self._waiting)

    def retry_after_s(
        self, req: WaitingRequest, now: float, random: Random
    ) -> float:
        """Return when the caller of a refused request should come back.

        It counts as expected back until then, so that callers which are refused
        together come back one after the other, the urgent ones first.
        """
        more_urgent = [rank for rank in self._ranks if rank < req.rank]
        estimate_s = max(
            self._backlog_s(rank, req, now) for rank in (*more_urgent, req.rank)
        )
        # The jitter comes after the bound: callers that are told the longest time
        # would come back together otherwise.
        bounded_s = min(MAX_RETRY_AFTER_S / (1 + RETRY_JITTER), estimate_s)
        spread_s = bounded_s * (1 + RETRY_JITTER * random.random())
        retry_after_s = max(MIN_RETRY_AFTER_S, spread_s)
        refused = self._ranks[req.rank].refused
        if len(refused) < MAX_EXPECTED_BACK:
            refused.append((now + retry_after_s, req.tokens))
        return retry_after_s

    def _activate(self, req: WaitingRequest) -> None:
        """Number a new request; its account competes from now on."""
        self._sequence += 1
        req.sequence = self._sequence
        self._mean_tokens += (req.tokens - self._mean_tokens) / min(
            self._sequence, FIRST_EVENTS_KEPT
        )
        has_others = any(
            other.account == req.account and other.rank == req.rank
            for other in self._waiting
        )
        if not has_others:
            self._ranks[req.rank].shares.activate(req.account)

    def _backlog_s(self, rank: int, req: WaitingRequest, now: float) -> float:
        """Return the time to start all that goes before a refused request."""
        up_to_rank = [known for known in self._ranks if known <= rank]
        tokens = req.tokens + sum(
            self._ranks[known].tokens_expected_back(now) for known in up_to_rank
        )
        tokens += sum(
            other.tokens
            for other in self._waiting
            if other.rank <= rank and other is not req
        )
        rate = self._rate_of(rank, now)
        if rate is None:
            # Nothing is known of the capacity: one request after the other.
            rate = max(1.0, req.tokens) / INITIAL_FIRST_EVENT_S
        return tokens / rate

    @property
    def _has_excess(self) -> bool:
        is_long = len(self._waiting) > self._max_waiting
        return is_long or self._body_bytes > self._max_body_bytes

    def _rate_of(self, rank: int, now: float) -> float | None:
        return self._ranks[rank].rate.tokens_per_s(now, self._mean_tokens)

    def _update_contention(self, now: float) -> None:
        """Record for each rank whether it or a more urgent one waits."""
        most_urgent = min((req.rank for req in self._waiting), default=None)
        for rank, state in self._ranks.items():
            if most_urgent is not None and most_urgent <= rank:
                state.rate.begin_waiting(now)
            else:
                state.rate.end_waiting(now)

    def _drop_excess(self, now: float) -> list[WaitingRequest]:
        dropped = []
        order = self.in_order()
        while self._has_excess:
            last = order.pop()
            self.leave(last, now)
            dropped.append(last)
        return dropped

    def _remove(self, req: WaitingRequest) -> None:
        self._waiting.pop(req)
        self._body_bytes -= req.body_bytes
