"""Start, delay or refuse requests of services with ordered admission.

Connects the queue of each service with the selector and the blackboard.  The
requests that wait are tried again when work of this entry has ended, when the
work of other entries was reported, and at least every ``CHECK_S``.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from foxtailhatch.limits.capacity_queue import (
    MAX_OVERTAKEN,
    CapacityQueue,
    WaitingRequest,
)
from foxtailhatch.relay.context import (
    CapacityListener,
    EndpointSelector,
    RelayMetrics,
    SelectedChain,
    SelectionRequest,
)
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard

# Back-offs, pauses and limits of endpoints end without an event.
CHECK_S = 0.05
# Searches without a result in one check; each takes about a millisecond.
MAX_MISSES = 4


@dataclass(slots=True)
class _ServiceQueue:
    """The queue of a service, and whose requests are in it."""

    service: str
    queue: CapacityQueue = field(default_factory=CapacityQueue)
    listeners: dict[WaitingRequest, CapacityListener] = field(
        default_factory=dict
    )
    ranks: set[int] = field(default_factory=set)

    def sendable(
        self, now: float
    ) -> Iterator[tuple[WaitingRequest, CapacityListener]]:
        """Return the requests that may be sent now, in queue order."""
        for req in self.queue.in_order():
            # The start of one may end another.
            if req in self.queue and self.listeners[req].may_send(now):
                yield req, self.listeners[req]


@dataclass(frozen=True, slots=True)
class _Miss:
    """A search for a chain that had no result."""

    tokens: float
    selection: SelectionRequest

    def covers(self, req: WaitingRequest, selection: SelectionRequest) -> bool:
        """Return whether a search for another request has no result either."""
        if selection.fill_limit is None or self.selection.fill_limit is None:
            return False
        return (
            req.tokens >= self.tokens
            and selection.fill_limit <= self.selection.fill_limit
            and self.selection.exclude <= selection.exclude
            and self.selection.heads in (frozenset(), selection.heads)
        )


class CapacityAdmission:
    """Implement the :class:`CapacityWait` of the relays of one entry."""

    def __init__(
        self,
        board: Blackboard,
        reactor: Any,
        selector: EndpointSelector,
        log: StructuredLog,
        metrics: RelayMetrics,
        random: Random,
    ) -> None:
        """Select chains with ``selector``; ``random`` spreads out retries."""
        self._board = board
        self._reactor = reactor
        self._selector = selector
        self._log = log
        self._metrics = metrics
        self._random = random
        self._queues: dict[str, _ServiceQueue] = {}
        self._requests: dict[CapacityListener, WaitingRequest] = {}
        self._timer: Any = None
        board.loads.on_end(self.wake)
        board.totals_listeners.append(self.wake)

    def enter(self, listener: CapacityListener, arrived_at: float) -> None:
        """Start the request, refuse it, or let it wait."""
        now = self._board.clock()
        admitted = listener.admitted
        of_service = self._queue_of(admitted.service.name)
        queue = of_service.queue
        req = self._requests.get(listener)
        if req is None:
            req = _waiting_request(listener, arrived_at, queue)
            self._requests[listener] = req
        of_service.listeners[req] = listener
        of_service.ranks.add(req.rank)
        dropped = queue.enter(req, now)
        for last in dropped:
            self._refuse(of_service, last, 'queue_full', now)
        if req not in queue:
            return
        selection = listener.selection()
        if selection.fill_limit is None:
            # A stream that resumes is not held back by those that wait.
            chosen = self._select(req, selection, [])
            if chosen is not None:
                self._start(of_service, req, chosen, now)
                return
        self._check(of_service, now)
        if req in queue:
            self._refuse_if_late(of_service, req, now)
        self._schedule(CHECK_S)

    def leave(self, listener: CapacityListener) -> None:
        """Remove a request that has ended, if it waits."""
        req = self._requests.pop(listener, None)
        of_service = self._queue_of(listener.admitted.service.name)
        if req is None or req not in of_service.queue:
            return
        now = self._board.clock()
        of_service.listeners.pop(req)
        of_service.queue.leave(req, now)
        self._record(of_service, req, 'left', now)

    def record_first_event(self, service: str, seconds: float) -> None:
        """Record the time from sending a request to its first event."""
        self._queue_of(service).queue.record_first_event(seconds)

    def wake(self) -> None:
        """Check soon whether requests that wait can start."""
        if self._has_waiting:
            self._schedule(0)

    @property
    def _has_waiting(self) -> bool:
        return any(of_service.queue for of_service in self._queues.values())

    def _queue_of(self, service: str) -> _ServiceQueue:
        if service not in self._queues:
            self._queues[service] = _ServiceQueue(service)
        return self._queues[service]

    def _schedule(self, delay_s: float) -> None:
        """Check after a delay, or earlier if that is planned."""
        if not self._has_waiting:
            return
        expiry = min(
            of_service.queue.next_expiry()
            for of_service in self._queues.values()
        )
        delay_s = max(0, min(delay_s, expiry - self._board.clock()))
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self._reactor.seconds() + delay_s:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(delay_s, self._check_all)

    def _check_all(self) -> None:
        for of_service in tuple(self._queues.values()):
            if of_service.queue:
                self._check(of_service, self._board.clock())
        self._schedule(CHECK_S)

    def _check(self, of_service: _ServiceQueue, now: float) -> None:
        """Start the requests for which there is a chain; refuse late ones."""
        self._start_possible(of_service, now)
        for late in of_service.queue.expired(now):
            # The next request of a connection enters as one is refused, and
            # leads to another check.
            if late in of_service.queue:
                self._refuse(of_service, late, 'waited', now)

    def _start_possible(self, of_service: _ServiceQueue, now: float) -> None:
        """Start in queue order what there is a chain for.

        Requests without one are passed over, each a limited number of times.
        """
        passed_over: list[WaitingRequest] = []
        misses: list[_Miss] = []
        for req, listener in of_service.sendable(now):
            chosen = self._select(req, listener.selection(), misses)
            if chosen is None:
                passed_over.append(req)
                if req.overtaken >= MAX_OVERTAKEN or len(misses) >= MAX_MISSES:
                    return
            else:
                _record_overtaking(passed_over)
                self._start(of_service, req, chosen, now)

    def _select(
        self,
        req: WaitingRequest,
        selection: SelectionRequest,
        misses: list[_Miss],
    ) -> SelectedChain | None:
        """Search for a chain, unless an earlier miss shows that there is none."""
        if any(miss.covers(req, selection) for miss in misses):
            return None
        chosen = self._selector.select(selection, self._board.clock())
        if chosen is None:
            misses.append(_Miss(req.tokens, selection))
        return chosen

    def _start(
        self,
        of_service: _ServiceQueue,
        req: WaitingRequest,
        chosen: SelectedChain,
        now: float,
    ) -> None:
        has_waited = req.entered_at < now
        of_service.queue.start(req, now)
        listener = of_service.listeners.pop(req)
        self._record(
            of_service, req, 'waited' if has_waited else 'at_once', now
        )
        listener.capacity_granted(chosen)

    def _refuse_if_late(
        self, of_service: _ServiceQueue, req: WaitingRequest, now: float
    ) -> None:
        """Refuse a new request that is not likely to start in time."""
        place = of_service.queue.place_of(req, now)
        estimate_s = place.estimate_s
        if estimate_s is not None and now + estimate_s > req.latest_start_at:
            self._refuse(of_service, req, 'too_long', now)
            return
        self._record_waiting(of_service)
        self._log.write(
            'waits_for_room', **self._described(of_service, req, now)
        )

    def _refuse(
        self,
        of_service: _ServiceQueue,
        req: WaitingRequest,
        why: str,
        now: float,
    ) -> None:
        described = self._described(of_service, req, now)
        of_service.queue.leave(req, now)
        listener = of_service.listeners.pop(req)
        retry_after_s = of_service.queue.retry_after_s(req, now, self._random)
        self._log.write(
            'refused',
            **described,
            why=why,
            waited_s=round(now - req.arrived_at, 3),
            retry_after_s=round(retry_after_s, 2),
        )
        self._record(of_service, req, f'refused_{why}', now)
        listener.capacity_refused(retry_after_s)

    def _described(
        self, of_service: _ServiceQueue, req: WaitingRequest, now: float
    ) -> dict[str, Any]:
        """Return the fields by which log lines describe a request."""
        place = of_service.queue.place_of(req, now)
        fill_limit = of_service.listeners[req].admitted.fill_limit
        return {
            'id': req.request_id,
            'service': of_service.service,
            'rank': req.rank,
            'ahead': place.ahead,
            'estimate_s': place.estimate_s and round(place.estimate_s, 3),
            'fill_limit': fill_limit,
            'waiting': len(of_service.queue),
        }

    def _record(
        self,
        of_service: _ServiceQueue,
        req: WaitingRequest,
        outcome: str,
        now: float,
    ) -> None:
        self._metrics.record_admission(outcome, req.rank, now - req.entered_at)
        self._record_waiting(of_service)

    def _record_waiting(self, of_service: _ServiceQueue) -> None:
        counts = of_service.queue.counts()
        service = of_service.service
        waiting = {rank: counts[rank] for rank in of_service.ranks}
        self._metrics.record_waiting(service, waiting)
        for rank, count in waiting.items():
            self._board.own_demand.set_waiting(service, rank, count)


def _record_overtaking(passed_over: Iterable[WaitingRequest]) -> None:
    """Count for each request that one behind it is started."""
    for req in passed_over:
        req.overtaken += 1


def _waiting_request(
    listener: CapacityListener, arrived_at: float, queue: CapacityQueue
) -> WaitingRequest:
    admitted = listener.admitted
    tokens = admitted.req.tokens
    wait_s = admitted.route.target_latency_s - queue.expected_first_event_s
    return WaitingRequest(
        request_id=admitted.req.request_id,
        rank=admitted.urgency,
        account=admitted.account or '',
        tokens=tokens.expected if tokens else 0,
        body_bytes=len(admitted.req.body),
        arrived_at=arrived_at,
        latest_start_at=arrived_at + wait_s,
    )
