"""Relay one request, from its arrival to the end of its response."""

from dataclasses import replace

from foxtailhatch.core import Invariant, check_invariant
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.attempt import (
    Attempt,
    AttemptListener,
    OutgoingRequest,
)
from foxtailhatch.relay.attempt_history import AttemptHistory
from foxtailhatch.relay.context import (
    CapacityWait,
    RelayContext,
    SelectedChain,
    SelectionRequest,
    chain_layout,
)
from foxtailhatch.relay.delivery import Delivery
from foxtailhatch.relay.endpoint_feedback import EndpointFeedback
from foxtailhatch.relay.event_syntax import EventFault
from foxtailhatch.relay.hedging import HedgeOutcome, Hedging
from foxtailhatch.relay.http_connection import ResponseHead, TransportFailure
from foxtailhatch.relay.refusal_response import send_refusal
from foxtailhatch.relay.refusals import (
    UNAVAILABLE,
    RefusalReason,
    RelayRefusal,
)
from foxtailhatch.relay.request import (
    CallerConnection,
    Dispatch,
    EndpointResponse,
    RelayRequest,
    ResponseKind,
)
from foxtailhatch.relay.retry_policy import (
    FailureContext,
    FailureKind,
    RetryAction,
    action_after_failure,
)
from foxtailhatch.relay.timers import Timers
from foxtailhatch.routes import RouteKind

# Lost layers of a model are loaded again within about a second, so a caller that
# retries after this time is likely to be served.
RETRY_AFTER_NO_ENDPOINT_S = 1.0
RETRY_AFTER_REFUSED_S = 0.5
# Another entry can take the request at once.
RETRY_AFTER_STOPPING_S = 0.05
# Pause before a quarantined part of a prompt is first tried again.
RETRY_AFTER_QUARANTINED_S = 10.0
# Limit on the wait of a request for capacity: half of the usual target for the
# first event, so that the target can still be met.
MAX_CAPACITY_WAIT_S = 0.25
CAPACITY_RETRY_S = 0.1
# Delay after a refusal, longer than the above as each retry counts against the
# retry budget.
REFUSED_RETRY_S = 0.4
# An engine that crashes loses all its streams, so a request whose prompt may be
# the cause is not sent to a third one.
MAX_LOST_HEADS = 2
# A request may crash an endpoint as it begins to run, with its first event.
SOUND_EVENTS = 2
# Bound on the wait of a request for a verdict on it and for its turn.
MAX_SUSPECT_WAIT_S = 3.0
SUSPECT_CHECK_S = 0.1
# Bound on the length of a log line; a part that requests share comes late.
MAX_LOGGED_PARTS = 8
# Attempts in a row that bring other bytes after few events; after more than these
# the next one waits, as each counts against the retry budget.
MAX_FRUITLESS_ATTEMPTS = 2
FRUITFUL_EVENTS = 16
# An event holds a token or more, but callers may count tokens in another way.
MAX_EVENTS_PER_TOKEN = 4
MIN_EVENT_LIMIT = 1024
FIRST_ERROR_STATUS = 400
EXCLUDING_FAILURES = frozenset(
    (FailureKind.FAILED, FailureKind.MAY_HAVE_RUN, FailureKind.MALFORMED)
)
FIRST_SERVER_ERROR_STATUS = 500


class Relay:
    """Send a request, retry it if needed, and forward one complete response.

    A stream whose route is resumable continues in another attempt after its
    last forwarded event.
    """

    def __init__(
        self,
        context: RelayContext,
        admitted: AdmittedRequest,
        caller: CallerConnection,
        now: float,
    ) -> None:
        """Prepare the relay; ``begin`` sends the request."""
        self.attempt: Attempt | None = None
        self.is_over = False
        self._context = context
        self._caller = caller
        self._arrived_at = now
        caller_timeout_s = admitted.req.caller_timeout_s
        timeout_s = admitted.route.timeout_s
        if caller_timeout_s is not None:
            timeout_s = min(timeout_s, caller_timeout_s)
        self._deadline_at = now + timeout_s
        self._timers = Timers(context.reactor)
        self._history = AttemptHistory(admitted, context.endpoints)
        self._feedback = EndpointFeedback(
            context, self._history, self.request_id
        )
        self._held = context.bodies.hold()
        self._demand = context.demand.track(admitted)
        self._delivery = Delivery(
            caller,
            admitted.req.last_event_id,
            now,
            _last_possible_event(admitted.req),
        )
        self.hedging = Hedging(
            context, self, self._history, self._feedback, self._delivery
        )
        self._sends = 0
        self._malformed = 0
        self._fruitless = 0
        self._has_waited = False
        self._is_sound = False
        self._may_have_run = False

    @property
    def admitted(self) -> AdmittedRequest:
        """Return the request; its body is dropped when it is over."""
        return self._history.admitted

    @property
    def request_id(self) -> str:
        """Return the identifier of the request."""
        return self.admitted.req.request_id

    @property
    def is_started(self) -> bool:
        """Return whether a part of the response was sent to the caller."""
        return self._delivery.is_started

    @property
    def last_progress_at(self) -> float:
        """Return when the last event arrived or the request was last sent."""
        event_at = self._delivery.last_progress_at
        return max(event_at, self.attempt.sent_at) if self.attempt else event_at

    def begin(self) -> None:
        """Send the request for the first time and start its deadline."""
        context = self._context
        now = context.clock()
        context.running.add(self)
        left_s = max(0, self._deadline_at - now)
        self._timers.schedule('end', left_s, self._on_timeout)
        if not self.admitted.req.is_forwarded:
            context.budget.record_request(self.admitted.service.name, now)
        if self._capacity is not None:
            self._enter_queue(self._capacity)
            return
        self._send_if_capacity(
            RefusalReason.NO_ENDPOINT, RETRY_AFTER_NO_ENDPOINT_S
        )

    def caller_disconnected(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        self._end('caller_left')

    def end_for_stop(self) -> None:
        """End the request with an answer, as this process is about to end."""
        attempt = self.attempt
        if attempt is not None and not attempt.is_over:
            is_sent = attempt.is_connected or self.hedging.is_connected
            self._may_have_run = self._may_have_run or is_sent
        if self.is_started:
            self._caller.abort()
            self._end('broken_off')
        elif self._may_have_run:
            self._refuse(RefusalReason.OUTCOME_UNKNOWN)
        else:
            self._refuse(RefusalReason.STOPPING, RETRY_AFTER_STOPPING_S)

    def exclude(self, name: str) -> None:
        """Exclude an endpoint from later attempts of this request."""
        self._history.exclude(name)

    def selection(self) -> SelectionRequest:
        """Return the constraints on the endpoints of the next attempt.

        A request that may have run is not held back by the fill limit: it
        cannot be refused as not run, or its caller has a part of the response.
        """
        selection = self._history.selection()
        if self._may_have_run or self.is_started:
            return selection
        if self.admitted.req.last_event_id is not None:
            return selection
        return replace(selection, fill_limit=self.admitted.fill_limit)

    def may_send(self, now: float) -> bool:
        """Return whether the retry budget allows the next attempt."""
        return not self._sends or self._has_budget()

    def capacity_granted(self, chosen: SelectedChain) -> None:
        """Send the request to a chain that has capacity for it."""
        now = self._context.clock()
        if self._is_blocked():
            self._refuse_blocked()
        elif self._sends and not self._spend_retry(now):
            self._refuse(RefusalReason.ENDPOINT_REFUSED, RETRY_AFTER_REFUSED_S)
        else:
            self._send(chosen, now)

    def capacity_refused(self, retry_after_s: float) -> None:
        """Refuse the request, as there is no capacity for it in time."""
        service = self.admitted.service.name
        pause_s = self._context.endpoints.shortest_pause_s(
            service, self._context.clock()
        )
        reason = (
            RefusalReason.ENDPOINT_REFUSED
            if self._sends
            else RefusalReason.NO_ENDPOINT
        )
        self._refuse(reason, max(retry_after_s, pause_s))

    def select_reroute(self, now: float) -> SelectedChain | None:
        """Return another chain with the same first stage, if there is one."""
        if self.attempt is None:
            return None
        first = self.attempt.chosen[0]
        selection = replace(self._history.selection(), first=first)
        return self._context.selector.select(selection, now)

    def can_restart_elsewhere(self) -> bool:
        """Return whether another chain head may resume the response."""
        is_resumable = self.admitted.route.is_resumable
        return is_resumable and not self._history.is_exhausted

    def stop_before_event(self) -> None:
        """End the request if its prompt is blocked and it has not begun."""
        attempt = self.attempt
        if self.is_over or self.is_started or self.admitted.is_trial:
            return
        if attempt is not None and not attempt.is_over:
            attempt.cancel()
            self._may_have_run = True
        self._refuse_blocked()

    def abandon_attempt(self, cause: str) -> bool:
        """Replace an attempt without progress; return whether it was.

        It is kept until another endpoint can take its place: it may come back,
        and a cancelled one cannot.
        """
        attempt = self.attempt
        if attempt is None or attempt.is_over or self.is_over:
            return False
        if not self._can_replace(attempt):
            return False
        self._context.log.write(
            'attempt_given_up', id=self.request_id, why=cause
        )
        attempt.cancel()
        self._on_attempt_failed(attempt, FailureKind.MAY_HAVE_RUN, cause)
        return True

    def may_replace(self, now: float) -> bool:
        """Return whether a request in progress may be sent again."""
        failure_context = replace(
            self._failure_context(FailureKind.MAY_HAVE_RUN, now),
            may_have_run=True,
        )
        return action_after_failure(failure_context) is RetryAction.RETRY

    def adopt(self, attempt: Attempt) -> None:
        """Continue with a hedged attempt in place of the current one."""
        if self.attempt is not None:
            self.attempt.cancel()
        attempt.listener = self
        self.attempt = attempt
        self._delivery.start_attempt(self._context.clock())
        self._held.release()
        if self.is_started and attempt.response is not None:
            self._caller.set_backpressure_source(attempt.transport)

    def _can_replace(self, attempt: Attempt) -> bool:
        """Return whether another endpoint can take the place of an attempt."""
        if self.hedging.can_take_over():
            return True
        now = self._context.clock()
        if not self.may_replace(now):
            return False
        selection = self._history.selection()
        without = replace(
            selection, exclude=selection.exclude | {attempt.head_name}
        )
        return self._context.selector.select(without, now) is not None

    def move_on(self, cause: str) -> None:
        """Leave an attempt whose endpoint or entry is out of reach.

        A request that was sent and may not be repeated stays where it is.
        """
        attempt = self.attempt
        if attempt is None or attempt.is_over or self.is_over:
            return
        if attempt.is_connected:
            if self.admitted.route.may_repeat:
                self.abandon_attempt(cause)
            return
        attempt.cancel()
        self._history.record_unreached(attempt.head_name)
        self._history.exclude(attempt.head_name)
        self._on_attempt_failed(attempt, FailureKind.UNREACHED, cause)

    def attempt_head_received(
        self, attempt: Attempt, head: ResponseHead
    ) -> None:
        """Decide by the status whether to retry or to forward the response."""
        if attempt is not self.attempt:
            return
        response = self.read_head(attempt, head)
        if response.kind is ResponseKind.NOT_RUN:
            self._on_not_run(attempt)
            return
        failure = self._failure_of(attempt, response)
        is_failed_entry = (
            attempt.is_forwarded and response.status >= FIRST_ERROR_STATUS
        )
        is_unknown = failure is FailureKind.MALFORMED and is_failed_entry
        if is_unknown and not self.is_started:
            # The other entry has repeated it as often as is allowed.
            attempt.cancel()
            self._refuse(RefusalReason.OUTCOME_UNKNOWN)
        elif failure is None:
            self._accept_head(attempt, response)
        else:
            attempt.cancel()
            self._on_attempt_failed(attempt, failure, f'{head.status}')

    def _accept_head(
        self, attempt: Attempt, response: EndpointResponse
    ) -> None:
        if response.is_event_stream:
            if self.is_started:
                self._caller.set_backpressure_source(attempt.transport)
            return
        # This is the answer, and no event of another attempt belongs to it.
        self.hedging.cancel(HedgeOutcome.LOST)

    def read_head(
        self, attempt: Attempt, head: ResponseHead
    ) -> EndpointResponse:
        """Decode the head of a response and record what it tells."""
        response = self._decode_head(attempt, head)
        attempt.response = response
        self._feedback.record_rate_limit(attempt)
        self._feedback.record_notice(attempt)
        if response.kind is not ResponseKind.NOT_RUN:
            self._may_have_run = True
        return response

    def _decode_head(
        self, attempt: Attempt, head: ResponseHead
    ) -> EndpointResponse:
        codec = self._context.codec
        if attempt.is_forwarded:
            return codec.decode_forwarded_head(head, self.admitted.req)
        return codec.decode_head(head, self.admitted.req)

    def _failure_of(
        self, attempt: Attempt, response: EndpointResponse
    ) -> FailureKind | None:
        """Return how an attempt has failed by the head of its response, if so."""
        if response.kind is ResponseKind.AMBIGUOUS:
            return FailureKind.MALFORMED
        if self.is_started and not response.continues_stream:
            # Its body would become a part of the stream that has begun.
            return FailureKind.FAILED
        is_stream_route = self.admitted.route.kind is RouteKind.STREAM
        is_success = response.kind is ResponseKind.SUCCESS
        if is_success and is_stream_route and not response.continues_stream:
            return FailureKind.MALFORMED
        is_failure = response.kind is ResponseKind.FAILURE
        if is_failure and self._should_retry_failure(attempt):
            return FailureKind.FAILED
        return None

    def attempt_body_received(self, attempt: Attempt, chunk: bytes) -> None:
        """Forward complete events, or buffer a small body."""
        response = attempt.response
        if attempt is not self.attempt or response is None:
            return
        was_started = self.is_started
        fault = None
        if response.is_event_stream:
            fault = self._deliver_events(attempt, response, chunk)
        else:
            self._deliver_body(response, chunk)
        if self.is_started and not was_started:
            self._record_first_byte(attempt)
        if fault is not None:
            self._end_malformed(attempt, fault)

    def _end_malformed(self, attempt: Attempt, fault: EventFault) -> None:
        """End an attempt that brought other bytes than the next event."""
        attempt.cancel()
        self._log_malformed(attempt, fault)
        if fault is EventFault.TOO_MANY:
            # The stream goes on like that wherever it is resumed.
            self._caller.abort()
            self._end('broken_off')
            return
        self._on_attempt_failed(attempt, FailureKind.MALFORMED, fault.value)

    def _log_malformed(self, attempt: Attempt, fault: EventFault) -> None:
        self._malformed += 1
        self._context.log.write(
            'event_malformed',
            id=self.request_id,
            endpoints=[stage.endpoint.name for stage in attempt.chosen],
            why=fault.value,
            after=self._delivery.last_event,
            sample=repr(self._delivery.rejected or attempt.splitter.sample),
        )

    def _deliver_events(
        self, attempt: Attempt, response: EndpointResponse, chunk: bytes
    ) -> EventFault | None:
        """Forward the next events; return what else has come, if anything."""
        now = self._context.clock()
        before = self._delivery.last_event or 0
        events = attempt.take_events(chunk)
        self._delivery.deliver_events(response, events, now)
        passed = (self._delivery.last_event or 0) - before
        if passed:
            self.hedging.cancel(HedgeOutcome.LOST)
            if not attempt.event_count:
                self._record_first_event(attempt, now)
        attempt.event_count += passed
        self._record_if_sound(attempt, now)
        fault = self._delivery.event_fault or attempt.splitter.fault
        has_room = self._held.resize(attempt.splitter.partial_bytes)
        if fault is None and not has_room:
            fault = EventFault.TOO_LONG
        return fault

    def _record_first_event(self, attempt: Attempt, now: float) -> None:
        self._context.prompts.record_begun(self.admitted.req, now)
        if attempt.is_resumed:
            self._context.resumptions.record(now - attempt.sent_at)

    def _deliver_body(self, response: EndpointResponse, chunk: bytes) -> None:
        """Buffer a small body; forward it at once if there is no room."""
        now = self._context.clock()
        self._delivery.deliver_body(response, chunk, now)
        if not self._held.resize(self._delivery.buffered_bytes):
            self._delivery.forward_buffered(response, now)

    def attempt_completed(self, attempt: Attempt) -> None:
        """Finish the caller's response, unless the stream was truncated."""
        response = attempt.response
        if attempt is not self.attempt or response is None:
            return
        if response.is_event_stream and self.is_incomplete(attempt):
            self._on_attempt_failed(
                attempt, FailureKind.MAY_HAVE_RUN, 'half an event'
            )
            return
        self._feedback.record_success(attempt)
        self._context.prompts.record_sound(
            self.admitted.req, self._context.clock()
        )
        was_started = self.is_started
        self._delivery.finish(response, self._context.clock())
        if not was_started:
            self._record_first_byte(None)
        is_error = response.status >= FIRST_ERROR_STATUS
        self._end(f'status_{response.status}' if is_error else 'answered')

    def is_incomplete(self, attempt: Attempt) -> bool:
        """Return whether a stream that has ended cannot be complete.

        One that resumes after its last event is empty; a new one is not.
        """
        return attempt.is_truncated or self._delivery.last_event is None

    def attempt_failed(self, attempt: Attempt, fault: TransportFailure) -> None:
        """Decide what to do after a transport failure."""
        if attempt is not self.attempt:
            return
        failure = self._feedback.record_fault(attempt, fault)
        self._on_attempt_failed(attempt, failure, fault.value)

    def _send(self, chosen: SelectedChain, now: float) -> None:
        self._delivery.start_attempt(now)
        self._held.release()
        self.attempt = self.open_attempt(chosen, self, now)

    def open_attempt(
        self, chosen: SelectedChain, listener: AttemptListener, now: float
    ) -> Attempt:
        """Send the request to a chain, also beside the current attempt."""
        admitted = self.admitted
        attempt = self.attempt
        is_running = attempt is not None and not attempt.is_over
        is_first = not (self._may_have_run or is_running)
        may_send = is_first or admitted.route.may_repeat
        check_invariant(Invariant.AT_MOST_ONCE, may_send, self.request_id)
        endpoints = [stage.endpoint for stage in chosen]
        is_forwarded = chosen[0].is_entry
        check_invariant(
            Invariant.DRAINING_GETS_NO_WORK,
            is_forwarded
            or all(map(self._context.endpoints.accepts_work, endpoints)),
            str([endpoint.name for endpoint in endpoints]),
        )
        if not is_forwarded:
            self._history.record_send(endpoints[0])
            self._context.rate_limits.record_send(endpoints[0].name, now)
            self._context.endpoints.pauses.record_sends(endpoints, now)
        self._sends += 1
        dispatch = Dispatch(
            endpoint=endpoints[0].name,
            address=endpoints[0].address,
            account=admitted.account,
            urgency=admitted.urgency,
            time_left_s=self._deadline_at - now,
            chain=chain_layout(chosen),
            resume_after=(
                self._delivery.last_event if self.is_started else None
            ),
            is_forwarded=is_forwarded,
        )
        self._context.log.write(
            'sent',
            id=self.request_id,
            route=admitted.route.name,
            send=self._sends,
            to=[endpoint.name for endpoint in endpoints],
            list_revision=self._context.endpoints.revision,
            resume_after=dispatch.resume_after,
            parts=admitted.req.prompt_parts[-MAX_LOGGED_PARTS:],
            fingerprint=admitted.req.fingerprint,
            version=admitted.version,
            age_s=round(admitted.configuration_age_s, 2),
        )
        self._demand.sent(chosen, now)
        outgoing = OutgoingRequest(admitted.req, dispatch, chosen)
        return Attempt(self._context, outgoing, listener, now)

    def _on_not_run(self, attempt: Attempt) -> None:
        refusing_name = self._feedback.record_refusal(attempt)
        attempt.cancel()
        self._on_attempt_failed(
            attempt, FailureKind.NOT_RUN, f'refused by {refusing_name}'
        )

    def _on_attempt_failed(
        self, attempt: Attempt, failure: FailureKind, cause: str
    ) -> None:
        now = self._context.clock()
        self.record_failed(attempt, failure, cause)
        if failure is FailureKind.MALFORMED:
            self._fruitless += 1
        if attempt.event_count >= FRUITFUL_EVENTS:
            self._fruitless = 0
        action = self._next_action(failure, now)
        chosen = None
        if action is RetryAction.RETRY:
            chosen = self._select_chain(now)
            if chosen is None:
                action = action_after_failure(
                    self._failure_context(failure, self._deadline_at)
                )
        self._context.log.write(
            'attempt_failed',
            id=self.request_id,
            at=attempt.head_name,
            how=failure.value,
            cause=cause,
            next=action.value,
            after_s=round(now - attempt.sent_at, 3),
            events=attempt.event_count,
            received_bytes=attempt.received_bytes,
            limit=attempt.exceeded,
            invalid_status=attempt.invalid_status,
        )
        self._apply(action, chosen, cause, now)

    def _next_action(self, failure: FailureKind, now: float) -> RetryAction:
        if self.hedging.can_take_over():
            return RetryAction.HEDGE
        if failure is FailureKind.NOT_RUN and self._has_waited:
            # It has waited for capacity before: wait again, don't retry now.
            return (
                RetryAction.FAIL if self._may_have_run else RetryAction.REFUSE
            )
        return action_after_failure(self._failure_context(failure, now))

    def record_failed(
        self, attempt: Attempt, failure: FailureKind, cause: str
    ) -> None:
        """Record the failure of an attempt at its endpoints."""
        if failure is FailureKind.MAY_HAVE_RUN:
            self._record_lost(attempt, cause, self._context.clock())
        if failure is FailureKind.MALFORMED:
            self._may_have_run = True
            self._feedback.record_malformed(attempt)
        if failure in EXCLUDING_FAILURES:
            self._history.exclude(attempt.head_name)
        self._context.metrics.record_failed_attempt(
            failure.value, has_begun=attempt.event_count > 0
        )

    def _record_if_sound(self, attempt: Attempt, now: float) -> None:
        """Record once that a stream goes on after its first event."""
        if not self._is_sound and attempt.event_count >= SOUND_EVENTS:
            self._is_sound = True
            self._context.prompts.record_sound(self.admitted.req, now)

    def _record_lost(self, attempt: Attempt, cause: str, now: float) -> None:
        self._may_have_run = True
        if attempt.is_forwarded:
            return
        has_closed = cause == TransportFailure.CLOSED.value
        if has_closed and attempt.event_count < SOUND_EVENTS:
            self._record_request_lost(attempt, now)
        if attempt.event_count:
            return
        self._history.record_lost(attempt.chosen[0].endpoint)
        self._context.prompts.record_lost(
            attempt.chosen, self.admitted.req, now
        )

    def _record_request_lost(self, attempt: Attempt, now: float) -> None:
        head = attempt.chosen[0].endpoint
        self._context.prompts.record_request_lost(head, self.admitted.req, now)
        if self._context.endpoints.is_available(head):
            self._context.on_suspect(head, TransportFailure.CLOSED.value)

    def _is_blocked(self) -> bool:
        if self.admitted.is_trial:
            return self._sends > 0
        return self._context.prompts.is_blocked(self.admitted.req)

    def _refuse_blocked(self) -> None:
        """End a request whose prompt may crash another endpoint."""
        if self.is_started:
            self._caller.abort()
            self._end('broken_off')
        elif self._may_have_run or self.hedging.is_connected:
            self._refuse(RefusalReason.OUTCOME_UNKNOWN)
        else:
            self._refuse(RefusalReason.QUARANTINED, RETRY_AFTER_QUARANTINED_S)

    def _apply(
        self,
        action: RetryAction,
        chosen: SelectedChain | None,
        cause: str,
        now: float,
    ) -> None:
        if self._is_blocked():
            self._refuse_blocked()
            return
        if action is RetryAction.HEDGE:
            self.hedging.take_over()
        elif chosen:
            self._retry(chosen, cause, now)
        elif action is RetryAction.REFUSE:
            self._wait_after_refusal()
        else:
            self._resume_or_fail(now)

    def _resume_or_fail(self, now: float) -> None:
        if self.is_started:
            self._wait_to_resume(now)
        else:
            self._refuse(RefusalReason.OUTCOME_UNKNOWN)

    def _retry(self, chosen: SelectedChain, cause: str, now: float) -> None:
        if not self._context.prompts.may_repeat(self.admitted.req, now):
            self._wait_for_verdict(now)
            return
        if self._fruitless > MAX_FRUITLESS_ATTEMPTS and self.is_started:
            self._wait_to_resume(now)
            return
        self._spend_retry(now)
        self._context.metrics.record_retry(cause.split(' ')[0])
        self._send(chosen, now)

    def _wait_for_verdict(self, since: float) -> None:
        """Wait until it is known whether this request crashes endpoints."""
        self._context.log.write('held', id=self.request_id, why='suspect')
        self._timers.schedule(
            'hold', SUSPECT_CHECK_S, self._send_after_verdict, since
        )

    def _send_after_verdict(self, since: float) -> None:
        now = self._context.clock()
        if self._is_blocked():
            self._refuse_blocked()
        elif self._context.prompts.may_repeat(self.admitted.req, now):
            self._repeat(now)
        elif now - since > MAX_SUSPECT_WAIT_S:
            self._refuse_blocked()
        else:
            self._timers.schedule(
                'hold', SUSPECT_CHECK_S, self._send_after_verdict, since
            )

    def _repeat(self, now: float) -> None:
        """Send the request once more, or end it if there is no chain."""
        self._history.clear_refusals()
        chosen = self._select_chain(now)
        if chosen is not None and self._spend_retry(now):
            self._send(chosen, now)
        else:
            self._resume_or_fail(now)

    def _wait_to_resume(self, now: float) -> None:
        """Wait until the response can be resumed.

        How long a pause may be is up to the caller: it disconnects, or its
        deadline passes.
        """
        if not self.admitted.route.is_resumable or now >= self._deadline_at:
            self._caller.abort()
            self._end('broken_off')
            return
        is_patient = (
            self._history.has_refusals
            or self._fruitless > MAX_FRUITLESS_ATTEMPTS
        )
        delay_s = REFUSED_RETRY_S if is_patient else CAPACITY_RETRY_S
        self._timers.schedule('hold', delay_s, self._resume)

    def _resume(self) -> None:
        """Retry from the last event if there is a chain, or wait on."""
        if self._is_blocked():
            self._refuse_blocked()
            return
        self._history.clear_refusals()
        now = self._context.clock()
        chosen = self._select_chain(now)
        may_repeat = chosen and self._context.prompts.may_repeat(
            self.admitted.req, now
        )
        if chosen and may_repeat and self._spend_retry(now):
            self._send(chosen, now)
        else:
            self._wait_to_resume(now)

    @property
    def _capacity(self) -> CapacityWait | None:
        """Return what orders admission to the service, if anything does."""
        return self._context.capacity if self.admitted.is_ordered else None

    def _wait_after_refusal(self) -> None:
        """Wait for capacity again; nothing has run."""
        if self._capacity is None:
            self._wait_for_capacity(
                RefusalReason.ENDPOINT_REFUSED, RETRY_AFTER_REFUSED_S
            )
        else:
            self._enter_queue(self._capacity)

    def _enter_queue(self, capacity: CapacityWait) -> None:
        """Let the queue of the service decide: send, wait or refuse."""
        if self._is_blocked():
            self._refuse_blocked()
            return
        self._history.clear_refusals()
        capacity.enter(self, self._arrived_at)

    def _send_if_capacity(
        self, reason: RefusalReason, retry_after_s: float
    ) -> None:
        """Send if there is a chain; otherwise wait for one, or refuse."""
        if self._is_blocked():
            self._refuse_blocked()
            return
        self._history.clear_refusals()
        now = self._context.clock()
        chosen = self._select_chain(now)
        if chosen is None:
            self._wait_for_capacity(reason, retry_after_s)
        elif self._sends and not self._spend_retry(now):
            # Other waiting requests have spent the retry budget meanwhile.
            self._refuse(reason, retry_after_s)
        else:
            self._send(chosen, now)

    def _wait_for_capacity(
        self, reason: RefusalReason, retry_after_s: float
    ) -> None:
        """Try again after a delay, or refuse if the wait was too long."""
        service = self.admitted.service.name
        pause_s = self._context.endpoints.shortest_pause_s(
            service, self._context.clock()
        )
        retry_after_s = max(retry_after_s, pause_s)
        wait_s = self._context.clock() + CAPACITY_RETRY_S - self._arrived_at
        is_model = self.admitted.service.engine is not None
        if (
            not is_model
            or wait_s > MAX_CAPACITY_WAIT_S
            or not self._has_budget()
        ):
            self._refuse(reason, retry_after_s)
            return
        self._has_waited = True
        self._context.log.write('held', id=self.request_id, why=reason.value)
        self._timers.schedule(
            'hold',
            CAPACITY_RETRY_S,
            self._send_if_capacity,
            reason,
            retry_after_s,
        )

    def _select_chain(self, now: float) -> SelectedChain | None:
        return self._context.selector.select(self.selection(), now)

    def _spend_retry(self, now: float) -> bool:
        context = self._context
        service = self.admitted.service.name
        return context.budget.spend(service, now, context.entries())

    def _has_budget(self) -> bool:
        context = self._context
        service = self.admitted.service.name
        return (
            context.budget.remaining(
                service, context.clock(), context.entries()
            )
            >= 1
        )

    def _failure_context(
        self, failure: FailureKind, now: float
    ) -> FailureContext:
        route = self.admitted.route
        resumes = self.is_started and route.is_resumable
        is_exhausted = self._history.is_exhausted and not resumes
        is_suspect = (
            not self.is_started
            and not self._context.prompts.is_cleared(self.admitted.req)
            and self._history.lost_heads >= MAX_LOST_HEADS
        )
        has_ended = is_exhausted or is_suspect or self._is_blocked()
        return FailureContext(
            failure=failure,
            may_repeat=route.may_repeat and (resumes or not self.is_started),
            may_have_run=self._may_have_run,
            is_started=self.is_started,
            attempts_left=0 if has_ended else 1,
            unreached=self._history.unreached,
            time_left_s=self._deadline_at - now,
            has_budget=self._has_budget(),
        )

    def _should_retry_failure(self, attempt: Attempt) -> bool:
        """Return whether to retry after an endpoint's error status."""
        response = attempt.response
        if response is None or response.status < FIRST_SERVER_ERROR_STATUS:
            return False
        if attempt.is_forwarded:
            # The other entry has repeated it as often as is allowed.
            return False
        if self.hedging.can_take_over():
            return True
        now = self._context.clock()
        failure_context = self._failure_context(FailureKind.FAILED, now)
        if action_after_failure(failure_context) is not RetryAction.RETRY:
            return False
        self._history.exclude(attempt.head_name)
        return self._select_chain(now) is not None

    def _record_first_byte(self, attempt: Attempt | None) -> None:
        self._context.metrics.record_first_byte(
            self._delivery.time_to_first_byte_s or 0
        )
        if attempt is not None and not attempt.is_over:
            self._caller.set_backpressure_source(attempt.transport)
        if attempt is not None and self._capacity is not None:
            self._capacity.record_first_event(
                self.admitted.service.name,
                self._context.clock() - attempt.sent_at,
            )

    def _refuse(
        self,
        reason: RefusalReason,
        retry_after_s: float | None = None,
    ) -> None:
        refusal = RelayRefusal(reason, retry_after_s)
        if refusal.status == UNAVAILABLE:
            check_invariant(
                Invariant.NOT_RUN_IS_ACCURATE,
                not self._may_have_run,
                self.request_id,
            )
        self._demand.refused(reason, refusal.status, self._context.clock())
        send_refusal(self._caller, refusal)
        self._end(reason.value)

    def _on_timeout(self) -> None:
        if self.attempt is not None and not self.attempt.is_over:
            self._may_have_run = True
        if self.is_started:
            self._caller.abort()
            self._end('timeout')
        elif self._may_have_run:
            self._refuse(RefusalReason.TIMEOUT)
        else:
            self._refuse(RefusalReason.TIMEOUT_BEFORE_RUN)

    def _end(self, outcome: str) -> None:
        if self.is_over:
            return
        self.is_over = True
        self._caller.set_backpressure_source(None)
        self._cancel_all()
        self._demand.ended()
        self._context.prompts.end_turn(self.admitted.req)
        self._context.running.discard(self)
        self._release_bodies()
        took_s = self._context.clock() - self._arrived_at
        self._context.metrics.record_outcome(outcome, took_s)
        self._log_end(outcome, took_s)

    def _cancel_all(self) -> None:
        """Cancel both attempts, the timers and the wait for capacity."""
        if self.attempt is not None:
            self.attempt.cancel()
        self.hedging.cancel(HedgeOutcome.ENDED)
        self._timers.cancel_all()
        if self._capacity is not None:
            self._capacity.leave(self)

    def _release_bodies(self) -> None:
        """Drop the bodies, as this object may stay in memory for a while.

        Request, relay, attempt and connection refer to each other, so that
        only the garbage collector finds them.
        """
        self._held.release()
        admitted = self.admitted
        self._history.admitted = replace(
            admitted, req=admitted.req.without_body()
        )

    def _log_end(self, outcome: str, took_s: float) -> None:
        delivery = self._delivery
        first_s = delivery.time_to_first_byte_s
        self._context.log.write(
            'ended',
            id=self.request_id,
            route=self.admitted.route.name,
            account=self.admitted.account,
            outcome=outcome,
            sends=self._sends,
            last_event=delivery.last_event,
            malformed=self._malformed,
            first_s=None if first_s is None else round(first_s, 3),
            longest_pause_s=round(delivery.longest_gap_s, 3),
            took_s=round(took_s, 3),
        )


def _last_possible_event(req: RelayRequest) -> int | None:
    """Return the number after which a stream has no end, if the request tells."""
    if req.tokens is None:
        return None
    events = max(MIN_EVENT_LIMIT, MAX_EVENTS_PER_TOKEN * req.tokens.max_output)
    return (req.last_event_id or 0) + events
