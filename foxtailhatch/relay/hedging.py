"""Hedged resumption: a second attempt beside one that has paused.

Both attempts bring the event after the last forwarded one.  Whichever delivers
it first is kept, and the other one is cancelled at that moment, so that after
each event a request has one attempt.
"""

from collections.abc import Collection, Iterator
from dataclasses import replace
from enum import StrEnum
from typing import Protocol

from foxtailhatch.relay.attempt import Attempt, AttemptListener
from foxtailhatch.relay.attempt_history import AttemptHistory
from foxtailhatch.relay.body_memory import HeldBody
from foxtailhatch.relay.context import RelayContext, SelectedChain
from foxtailhatch.relay.delivery import Delivery
from foxtailhatch.relay.endpoint_feedback import EndpointFeedback
from foxtailhatch.relay.event_syntax import EventFault
from foxtailhatch.relay.http_connection import ResponseHead, TransportFailure
from foxtailhatch.relay.request import EndpointResponse, ResponseKind
from foxtailhatch.relay.retry_policy import FailureKind
from foxtailhatch.routes import Route

# Each hedge reads the whole prompt again, so a stream that pauses time and again
# gets no more of them.
MAX_HEDGES = 2
# A refusal names the endpoint that a chain lacks, within milliseconds and without
# a token read, so another chain is tried at once.  Several engines that are lost
# together are found one after the other.
MAX_REFUSED_HEDGES = 3
# One in a hundred streams on sound chains pauses for longer than this.
MIN_PAUSE_S = 0.1
# Delay after no chain was found, as each search costs processor time: by then the
# stream is late, and other means are at work.
NO_CHAIN_RETRY_S = 0.25
# Time for the next check to come, and for a refusal before the hedge that runs.
DELIVERY_MARGIN_S = 0.03
# Share of the target for the first event after which it is late: the rest is left
# for the hedge.
FIRST_EVENT_SHARE = 0.5


class HedgeOutcome(StrEnum):
    """How a hedged attempt ended.

    It ``WON`` with the next event, or ``TOOK_OVER`` from an attempt that
    failed.  It ``LOST`` as the first attempt went on, ``FAILED`` before it
    brought an event, or ``ENDED`` with its request.
    """

    WON = 'won'
    TOOK_OVER = 'took_over'
    LOST = 'lost'
    FAILED = 'failed'
    ENDED = 'ended'


class HedgeOwner(AttemptListener, Protocol):
    """The request that a hedged attempt belongs to."""

    attempt: Attempt | None
    is_over: bool

    @property
    def last_progress_at(self) -> float:
        """Return when the last event arrived or the request was last sent."""

    def may_replace(self, now: float) -> bool:
        """Return whether the request may be sent again beside its attempt."""

    def open_attempt(
        self, chosen: SelectedChain, listener: AttemptListener, now: float
    ) -> Attempt:
        """Send the request to a chain."""

    def read_head(
        self, attempt: Attempt, head: ResponseHead
    ) -> EndpointResponse:
        """Decode the head of a response and record what it tells."""

    def is_incomplete(self, attempt: Attempt) -> bool:
        """Return whether a stream that has ended cannot be complete."""

    def record_failed(
        self, attempt: Attempt, failure: FailureKind, cause: str
    ) -> None:
        """Record the failure of an attempt at its endpoints."""

    def adopt(self, attempt: Attempt) -> None:
        """Continue with an attempt in place of the current one."""


class Hedging:
    """The hedged attempts of one request, at most one at a time.

    ``attempt`` is the one in progress.  The caller of the request sees none
    of it before it is adopted by ``owner``.
    """

    def __init__(
        self,
        context: RelayContext,
        owner: HedgeOwner,
        history: AttemptHistory,
        feedback: EndpointFeedback,
        delivery: Delivery,
    ) -> None:
        """Start without a hedge."""
        self.attempt: Attempt | None = None
        self._context = context
        self._owner = owner
        self._history = history
        self._feedback = feedback
        self._delivery = delivery
        self._held: HeldBody | None = None
        self._count = 0
        self._refused = 0
        self._retry_at = float(0)

    @property
    def is_enabled(self) -> bool:
        """Return whether the route asks for hedges."""
        route = self._route
        return route.is_resumable and route.max_gap_s is not None

    @property
    def is_connected(self) -> bool:
        """Return whether an endpoint has accepted the hedged attempt."""
        return self.attempt is not None and self.attempt.is_connected

    @property
    def due_at(self) -> float:
        """Return when the request has paused for so long that a hedge is due.

        A hedge then could only just deliver the next event in time.
        """
        route = self._route
        gap_s = route.max_gap_s or 0
        expected_s = self._context.resumptions.expected_s
        pause_s = max(MIN_PAUSE_S, gap_s - expected_s - DELIVERY_MARGIN_S)
        if not self._delivery.is_started:
            first_s = FIRST_EVENT_SHARE * route.target_latency_s
            pause_s = max(pause_s, first_s)
        return self._owner.last_progress_at + pause_s

    def is_paused(self, now: float) -> bool:
        """Return whether the chain brings nothing, as far as this entry sees.

        A stream is not paused if its caller reads slowly.  Another entry to
        which a request was forwarded hedges it itself.
        """
        attempt = self._owner.attempt
        if attempt is None or attempt.is_over or attempt.is_forwarded:
            return False
        response = attempt.response
        if response is not None and not response.is_event_stream:
            return False
        return now >= self.due_at and not attempt.has_unread

    def may_start(self, now: float) -> bool:
        """Return whether a hedge may be sent now, if there is a chain for it."""
        if self._owner.is_over or now < self._retry_at:
            return False
        if not self.is_enabled or self._count >= MAX_HEDGES:
            return False
        if self.can_take_over() or not self._owner.may_replace(now):
            return False
        context = self._context
        service = self._history.admitted.service.name
        return context.budget.has_half(service, now, context.entries())

    def try_start(self, now: float, suspects: Collection[str] = ()) -> bool:
        """Send a hedged attempt if that is allowed and there is a chain.

        It avoids the zones of the first attempt, as engines of one zone fail
        together and other chains there may hold one of them too.  Next it
        avoids the endpoints of other paused requests, ``suspects``.
        """
        first = self._owner.attempt
        if first is None or not self.may_start(now):
            return False
        used = frozenset(stage.endpoint.name for stage in first.chosen)
        chosen = None
        for avoided in self._avoided(first, used, frozenset(suspects)):
            chosen = chosen or self._select_chain(avoided, now)
        req = self._history.admitted.req
        if (
            chosen is None
            or chosen[0].is_entry
            or not self._context.prompts.may_repeat(req, now)
        ):
            self._retry_at = now + NO_CHAIN_RETRY_S
            return False
        self._start(first, chosen, now)
        return True

    def can_take_over(self) -> bool:
        """Return whether a hedge runs that may still bring the next event.

        One over an endpoint that is known to be lost is cancelled.
        """
        attempt = self.attempt
        if attempt is None:
            return False
        is_lost = self._context.endpoints.is_lost
        if any(is_lost(stage.endpoint.name) for stage in attempt.chosen):
            self._fail(attempt, FailureKind.MAY_HAVE_RUN, 'lost endpoint')
            return False
        return True

    def take_over(self) -> None:
        """Put the hedge in the place of the first attempt, which has failed."""
        attempt = self._finish(HedgeOutcome.TOOK_OVER, 'first attempt failed')
        if attempt is not None:
            self._owner.adopt(attempt)

    def cancel(self, outcome: HedgeOutcome) -> None:
        """Cancel the hedge, as the first attempt went on or all is over."""
        attempt = self._finish(outcome, outcome.value)
        if attempt is not None:
            attempt.cancel()

    def attempt_head_received(
        self, attempt: Attempt, head: ResponseHead
    ) -> None:
        """Give the hedge up unless its response continues the stream."""
        response = self._owner.read_head(attempt, head)
        if response.continues_stream:
            return
        if response.kind is ResponseKind.NOT_RUN:
            name = self._feedback.record_refusal(attempt)
            self._fail(attempt, FailureKind.NOT_RUN, f'refused by {name}')
            self._start_after_refusal()
            return
        is_failure = response.kind is ResponseKind.FAILURE
        self._fail(
            attempt,
            FailureKind.FAILED if is_failure else FailureKind.MALFORMED,
            f'{response.status}',
        )

    def attempt_body_received(self, attempt: Attempt, chunk: bytes) -> None:
        """Keep the hedge in place of the first attempt at its first event."""
        events = attempt.read_ahead(chunk)
        fault = attempt.splitter.fault
        if events:
            fault = self._delivery.fault_of(events[0])
        has_room = self._held is None or self._held.resize(
            attempt.splitter.partial_bytes
        )
        if fault is None and not has_room:
            fault = EventFault.TOO_LONG
        if fault is not None:
            self._fail(attempt, FailureKind.MALFORMED, fault.value)
        elif events:
            self._finish(HedgeOutcome.WON, 'next event')
            self._owner.adopt(attempt)
            self._owner.attempt_body_received(attempt, b'')

    def attempt_completed(self, attempt: Attempt) -> None:
        """End the request if nothing follows its last event."""
        if self._owner.is_incomplete(attempt):
            self._fail(attempt, FailureKind.MAY_HAVE_RUN, 'half an event')
            return
        self._finish(HedgeOutcome.WON, 'end of the stream')
        self._owner.adopt(attempt)
        self._owner.attempt_completed(attempt)

    def attempt_failed(self, attempt: Attempt, fault: TransportFailure) -> None:
        """Record the failure; the first attempt is as before."""
        kind = self._feedback.record_fault(attempt, fault)
        self._fail(attempt, kind, fault.value)

    def _start_after_refusal(self) -> None:
        """Send another hedge at once; refused ones have a limit of their own."""
        if self._refused < MAX_REFUSED_HEDGES:
            self._refused += 1
            self._count -= 1
            self.try_start(self._context.clock())

    @property
    def _route(self) -> Route:
        return self._history.admitted.route

    def _avoided(
        self, first: Attempt, used: frozenset[str], suspects: frozenset[str]
    ) -> Iterator[frozenset[str]]:
        """Yield the endpoints to avoid, the most first."""
        zones = {stage.endpoint.zone for stage in first.chosen}
        service = self._history.admitted.service.name
        alive = self._context.endpoints.alive(service)
        in_zones = frozenset(one.name for one in alive if one.zone in zones)
        if len(in_zones) < len(alive):
            yield used | suspects | in_zones
        if not used.issuperset(suspects):
            yield used | suspects
        yield used

    def _select_chain(
        self, avoided: frozenset[str], now: float
    ) -> SelectedChain | None:
        """Return a chain in one zone without the given endpoints."""
        selection = self._history.selection()
        return self._context.selector.select(
            replace(
                selection,
                exclude=selection.exclude | avoided,
                is_single_zone=True,
            ),
            now,
        )

    def _start(self, first: Attempt, chosen: SelectedChain, now: float) -> None:
        context = self._context
        service = self._history.admitted.service.name
        entries = context.entries()
        context.budget.spend(service, now, entries)
        left = context.budget.remaining(service, now, entries)
        context.log.write(
            'hedged',
            id=self._request_id,
            pause_s=round(now - self._owner.last_progress_at, 3),
            chains=[
                [stage.endpoint.name for stage in chain]
                for chain in (first.chosen, chosen)
            ],
            budget_left=round(left, 1),
        )
        self._count += 1
        self._held = context.bodies.hold()
        self.attempt = self._owner.open_attempt(chosen, self, now)

    def _fail(self, attempt: Attempt, failure: FailureKind, cause: str) -> None:
        attempt.cancel()
        self._finish(HedgeOutcome.FAILED, cause, failure.value)
        self._owner.record_failed(attempt, failure, cause)

    def _finish(
        self, outcome: HedgeOutcome, cause: str, how: str | None = None
    ) -> Attempt | None:
        """Forget the hedge and return it; its outcome is logged and counted."""
        attempt = self.attempt
        self.attempt = None
        if self._held is not None:
            self._held.release()
            self._held = None
        if attempt is None:
            return None
        context = self._context
        after_s = round(context.clock() - attempt.sent_at, 3)
        context.metrics.record_hedge(outcome.value)
        if outcome in {HedgeOutcome.WON, HedgeOutcome.TOOK_OVER}:
            context.log.write(
                'hedge_won',
                id=self._request_id,
                at=attempt.head_name,
                why=cause,
                after_s=after_s,
            )
        else:
            context.log.write(
                'hedge_lost',
                id=self._request_id,
                at=attempt.head_name,
                why=cause,
                how=how,
                after_s=after_s,
            )
        return attempt

    @property
    def _request_id(self) -> str:
        return self._history.admitted.req.request_id
