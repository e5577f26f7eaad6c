"""The life of one request, from its arrival to the end of its answer."""

from dataclasses import replace

from foxtailhatch.core import Invariant, require
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.attempt import Attempt, Sending
from foxtailhatch.relay.attempt_history import AttemptHistory
from foxtailhatch.relay.context import RelayContext, SelectedChain, chain_layout
from foxtailhatch.relay.delivery import Delivery
from foxtailhatch.relay.endpoint_feedback import EndpointFeedback
from foxtailhatch.relay.http_connection import ResponseHead, TransportFailure
from foxtailhatch.relay.refusal_response import send_refusal
from foxtailhatch.relay.refusals import (
    UNAVAILABLE,
    RefusalReason,
    RelayRefusal,
)
from foxtailhatch.relay.request import CallerConnection, Dispatch, ResponseKind
from foxtailhatch.relay.retry_policy import (
    Failure,
    FailureContext,
    RetryAction,
    action_after_failure,
)
from foxtailhatch.relay.timers import Timers

# A caller that comes back finds what was missing repaired: a part of the
# model that is lost is loaded again within a second or so.
RETRY_NO_ENDPOINT_S = 1.0
RETRY_REFUSED_S = 0.5
# A request that finds no room waits for it this long, looking again after
# each step.  Source: half of the usual goal for the first event, so that it
# can still be met.
HOLD_MAX_S = 0.25
HOLD_STEP_S = 0.1
# An answer that has begun waits this long for a way to go on.  Source: its
# caller leaves after a pause of two seconds.
RESUME_WITHIN_S = 1.6
# A way that was refused is tried again after this time: each try counts
# against the bound on retries.
REFUSED_STEP_S = 0.4
FIRST_ERROR = 400
FIRST_SERVER_ERROR = 500


class Relay:
    """Send a request, again if need be, and pass one whole answer on."""

    def __init__(
        self,
        parts: RelayContext,
        admitted: AdmittedRequest,
        caller: CallerConnection,
        now: float,
    ) -> None:
        """Prepare to send; nothing is sent yet."""
        self.admitted = admitted
        self.attempt: Attempt | None = None
        self.is_over = False
        self._parts = parts
        self._caller = caller
        self._arrived_at = now
        caller_timeout_s = admitted.req.caller_timeout_s
        timeout_s = admitted.route.timeout_s
        if caller_timeout_s is not None:
            timeout_s = min(timeout_s, caller_timeout_s)
        self._ends_at = now + timeout_s
        self._timers = Timers(parts.reactor)
        self._receivers = AttemptHistory(admitted, parts.endpoints)
        self._blame = EndpointFeedback(parts, self._receivers, self.request_id)
        self._delivery = Delivery(caller, admitted.req.last_event_id, now)
        self._sends = 0
        self._is_held = False
        self._may_have_run = False

    @property
    def request_id(self) -> str:
        """Return the identifier of the request."""
        return self.admitted.req.request_id

    @property
    def is_started(self) -> bool:
        """Tell whether the caller has got a part of the answer."""
        return self._delivery.is_started

    @property
    def last_progress_at(self) -> float:
        """Return when the last event came, or the request was last sent."""
        heard_at = self._delivery.last_progress_at
        return max(heard_at, self.attempt.sent_at) if self.attempt else heard_at

    def begin(self) -> None:
        """Send the request for the first time."""
        parts = self._parts
        now = parts.clock()
        parts.running.add(self)
        left_s = max(0, self._ends_at - now)
        self._timers.later('end', left_s, self._timed_out)
        parts.budget.note_request(self.admitted.service.name, now)
        self._look_for_room(RefusalReason.NO_ENDPOINT, RETRY_NO_ENDPOINT_S)

    def caller_disconnected(self) -> None:
        """Stop all work: nobody waits for the answer any more."""
        self._end('caller_left')

    def avoid(self, name: str) -> None:
        """Leave an endpoint out of later choices for this request."""
        self._receivers.avoid(name)

    def select_reroute(self, now: float) -> SelectedChain | None:
        """Return another chain with the same receiver."""
        if self.attempt is None:
            return None
        first = self.attempt.chosen[0]
        choice = replace(self._receivers.choice(), first=first)
        return self._parts.chooser.select(choice, now)

    def can_restart_elsewhere(self) -> bool:
        """Tell whether the answer may go on at another receiver."""
        is_resumable = self.admitted.route.is_resumable
        return is_resumable and not self._receivers.is_spent

    def abandon_attempt(self, cause: str) -> None:
        """Cancel an attempt that makes no progress, and go on elsewhere."""
        if self.attempt is None or self.is_over:
            return
        self._parts.log.write('attempt_given_up', id=self.request_id, why=cause)
        self.attempt.cancel()
        self._failed(self.attempt, Failure.MAY_HAVE_RUN, cause)

    def attempt_head_received(
        self, attempt: Attempt, head: ResponseHead
    ) -> None:
        """Decide by the status of an answer."""
        if attempt is not self.attempt:
            return
        answer = self._parts.wire.decode_head(head, self.admitted.req)
        attempt.answer = answer
        if answer.kind is ResponseKind.NOT_RUN:
            self._not_run(attempt)
            return
        self._may_have_run = True
        if answer.kind is ResponseKind.AMBIGUOUS:
            attempt.cancel()
            self._failed(attempt, Failure.MAY_HAVE_RUN, f'{head.status}')
        elif answer.kind is ResponseKind.FAILURE and self._repeats(attempt):
            attempt.cancel()
            self._failed(attempt, Failure.FAILED, f'{head.status}')
        elif self.is_started:
            self._caller.set_backpressure_source(attempt.transport)

    def attempt_body_received(self, attempt: Attempt, piece: bytes) -> None:
        """Pass on whole events, or hold a small body until it is whole."""
        answer = attempt.answer
        if attempt is not self.attempt or answer is None:
            return
        now = self._parts.clock()
        was_started = self.is_started
        if answer.is_event_stream:
            events = attempt.splitter.feed(piece)
            self._delivery.take_events(answer, events, now)
        else:
            self._delivery.take_body(answer, piece, now)
        if self.is_started and not was_started:
            self._note_start(attempt)
        if attempt.splitter.is_overlong or self._delivery.misses_event:
            attempt.cancel()
            self._failed(attempt, Failure.MAY_HAVE_RUN, 'event missing')

    def attempt_completed(self, attempt: Attempt) -> None:
        """Finish the caller's answer."""
        answer = attempt.answer
        if attempt is not self.attempt or answer is None:
            return
        if answer.is_event_stream and attempt.splitter.has_rest:
            self._failed(attempt, Failure.MAY_HAVE_RUN, 'half an event')
            return
        self._blame.absolve(attempt)
        was_started = self.is_started
        self._delivery.finish(answer, self._parts.clock())
        if not was_started:
            self._note_start(None)
        is_error = answer.status >= FIRST_ERROR
        self._end(f'status_{answer.status}' if is_error else 'answered')

    def attempt_failed(self, attempt: Attempt, loss: TransportFailure) -> None:
        """Decide what follows a broken connection."""
        if attempt is not self.attempt:
            return
        if loss is TransportFailure.NOT_CONNECTED:
            self._receivers.not_reached(attempt.head_name)
            self._blame.failed(attempt.head_name, loss.value)
            self._failed(attempt, Failure.UNREACHED, loss.value)
            return
        if loss is TransportFailure.CLOSED and attempt.answer is None:
            self._blame.failed(attempt.head_name, loss.value)
        self._failed(attempt, Failure.MAY_HAVE_RUN, loss.value)

    def _send(self, chosen: SelectedChain, now: float) -> None:
        admitted = self.admitted
        may_send = not self._may_have_run or admitted.route.may_repeat
        require(Invariant.AT_MOST_ONCE, may_send, self.request_id)
        endpoints = [stage.endpoint for stage in chosen]
        require(
            Invariant.LEAVING_GETS_NO_WORK,
            all(map(self._parts.endpoints.accepts_work, endpoints)),
            str([endpoint.name for endpoint in endpoints]),
        )
        self._receivers.sent_to(endpoints[0])
        self._delivery.begin_run(now)
        self._sends += 1
        dispatch = Dispatch(
            endpoint=endpoints[0].name,
            address=endpoints[0].address,
            account=admitted.account,
            urgency=admitted.urgency,
            time_left_s=self._ends_at - now,
            chain=chain_layout(chosen),
            resume_after=(
                self._delivery.last_event if self.is_started else None
            ),
        )
        self._parts.log.write(
            'sent',
            id=self.request_id,
            route=admitted.route.name,
            send=self._sends,
            to=[endpoint.name for endpoint in endpoints],
            list_revision=self._parts.endpoints.revision,
            resume_after=dispatch.resume_after,
        )
        sending = Sending(admitted.req, dispatch, chosen)
        self.attempt = Attempt(self._parts, sending, self, now)

    def _not_run(self, attempt: Attempt) -> None:
        blamed = self._blame.refused(attempt)
        attempt.cancel()
        self._failed(attempt, Failure.NOT_RUN, f'refused by {blamed}')

    def _failed(self, attempt: Attempt, failure: Failure, cause: str) -> None:
        now = self._parts.clock()
        if failure is Failure.MAY_HAVE_RUN:
            self._may_have_run = True
        if failure in {Failure.FAILED, Failure.MAY_HAVE_RUN}:
            self._receivers.avoid(attempt.head_name)
        step = action_after_failure(self._situation(failure, now))
        if failure is Failure.NOT_RUN and self._is_held:
            # It has been refused at its first choices: look again later.
            step = (
                RetryAction.FAIL if self._may_have_run else RetryAction.REFUSE
            )
        chosen = None
        if step is RetryAction.TRY_AGAIN:
            chosen = self._choose(now)
            if chosen is None:
                step = action_after_failure(
                    self._situation(failure, self._ends_at)
                )
        self._parts.log.write(
            'attempt_failed',
            id=self.request_id,
            at=attempt.head_name,
            how=failure.value,
            cause=cause,
            next=step.value,
            after_s=round(now - attempt.sent_at, 3),
        )
        self._act(step, chosen, cause, now)

    def _act(
        self,
        step: RetryAction,
        chosen: SelectedChain | None,
        cause: str,
        now: float,
    ) -> None:
        if step is RetryAction.TRY_AGAIN and chosen is not None:
            self._spend(now)
            self._parts.metrics.record_retry(cause.split(' ')[0])
            self._send(chosen, now)
        elif step is RetryAction.REFUSE:
            self._hold(RefusalReason.ENDPOINT_REFUSED, RETRY_REFUSED_S)
        elif self.is_started:
            self._hold_started(now)
        else:
            self._refuse(RefusalReason.OUTCOME_UNKNOWN)

    def _hold_started(self, now: float) -> None:
        """Wait for a way to go on with an answer, or break it off."""
        pause_s = now - self._delivery.last_progress_at
        if not self.admitted.route.is_resumable or pause_s > RESUME_WITHIN_S:
            self._caller.abort()
            self._end('broken_off')
            return
        was_refused = self._receivers.was_refused
        step_s = REFUSED_STEP_S if was_refused else HOLD_STEP_S
        self._timers.later('hold', step_s, self._go_on)

    def _go_on(self) -> None:
        """Run again from the last event, if there is a way by now."""
        self._receivers.look_again()
        now = self._parts.clock()
        chosen = self._choose(now)
        if chosen and self._spend(now):
            self._send(chosen, now)
        else:
            self._hold_started(now)

    def _look_for_room(
        self, reason: RefusalReason, retry_after_s: float
    ) -> None:
        """Send if there is room; else wait a little, or refuse."""
        self._receivers.look_again()
        now = self._parts.clock()
        chosen = self._choose(now)
        if chosen is None:
            self._hold(reason, retry_after_s)
        elif self._sends and not self._spend(now):
            # Others that waited have spent what was left meanwhile.
            self._refuse(reason, retry_after_s)
        else:
            self._send(chosen, now)

    def _hold(self, reason: RefusalReason, retry_after_s: float) -> None:
        """Look for room again in a moment, unless it has been too long."""
        waits_s = self._parts.clock() + HOLD_STEP_S - self._arrived_at
        is_model = self.admitted.service.engine is not None
        if not is_model or waits_s > HOLD_MAX_S or not self._has_budget():
            self._refuse(reason, retry_after_s)
            return
        self._is_held = True
        self._parts.log.write('held', id=self.request_id, why=reason.value)
        self._timers.later(
            'hold',
            HOLD_STEP_S,
            self._look_for_room,
            reason,
            retry_after_s,
        )

    def _choose(self, now: float) -> SelectedChain | None:
        return self._parts.chooser.select(self._receivers.choice(), now)

    def _spend(self, now: float) -> bool:
        parts = self._parts
        service = self.admitted.service.name
        return parts.budget.spend(service, now, parts.entries())

    def _has_budget(self) -> bool:
        parts = self._parts
        service = self.admitted.service.name
        return parts.budget.left(service, parts.clock(), parts.entries()) >= 1

    def _situation(self, failure: Failure, now: float) -> FailureContext:
        route = self.admitted.route
        resumes = self.is_started and route.is_resumable
        is_spent = self._receivers.is_spent and not resumes
        return FailureContext(
            failure=failure,
            may_repeat=route.may_repeat and (resumes or not self.is_started),
            may_have_run=self._may_have_run,
            is_started=self.is_started,
            attempts_left=0 if is_spent else 1,
            unreached=self._receivers.unreached,
            time_left_s=self._ends_at - now,
            has_budget=self._has_budget(),
        )

    def _repeats(self, attempt: Attempt) -> bool:
        """Tell whether an endpoint's failure is worth another attempt."""
        answer = attempt.answer
        if answer is None or answer.status < FIRST_SERVER_ERROR:
            return False
        now = self._parts.clock()
        situation = self._situation(Failure.FAILED, now)
        if action_after_failure(situation) is not RetryAction.TRY_AGAIN:
            return False
        self._receivers.avoid(attempt.head_name)
        return self._choose(now) is not None

    def _note_start(self, attempt: Attempt | None) -> None:
        self._parts.metrics.record_first_byte(self._delivery.first_s or 0)
        if attempt is not None and not attempt.is_over:
            self._caller.set_backpressure_source(attempt.transport)

    def _refuse(
        self,
        reason: RefusalReason,
        retry_after_s: float | None = None,
    ) -> None:
        refusal = RelayRefusal(reason, retry_after_s)
        if refusal.status == UNAVAILABLE:
            require(
                Invariant.NOT_RUN_IS_TRUE,
                not self._may_have_run,
                self.request_id,
            )
        send_refusal(self._caller, refusal)
        self._end(reason.value)

    def _timed_out(self) -> None:
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
        if self.attempt is not None:
            self.attempt.cancel()
        self._timers.cancel_all()
        self._parts.running.discard(self)
        took_s = self._parts.clock() - self._arrived_at
        self._parts.metrics.record_outcome(outcome, took_s)
        self._log_end(outcome, took_s)

    def _log_end(self, outcome: str, took_s: float) -> None:
        delivery = self._delivery
        first_s = delivery.first_s
        self._parts.log.write(
            'ended',
            id=self.request_id,
            route=self.admitted.route.name,
            account=self.admitted.account,
            outcome=outcome,
            sends=self._sends,
            last_event=delivery.last_event,
            first_s=None if first_s is None else round(first_s, 3),
            longest_pause_s=round(delivery.longest_pause_s, 3),
            took_s=round(took_s, 3),
        )
