"""The life of one request, from its arrival to the end of its answer."""

from dataclasses import replace
from typing import Any

from foxtailhatch.core import Invariant, require
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.relay.attempt import Attempt, Sending
from foxtailhatch.relay.events import EventOrder
from foxtailhatch.relay.http_stream import Head, Loss
from foxtailhatch.relay.next_step import Failure, Next, Situation, next_step
from foxtailhatch.relay.parts import Choice, Chosen, RelayParts
from foxtailhatch.relay.refusals import (
    UNAVAILABLE,
    Reason,
    RelayRefusal,
)
from foxtailhatch.relay.request import (
    AnswerKind,
    CallerSide,
    Dispatch,
    RelayRequest,
)
from foxtailhatch.routes import Route, Service

# Bodies up to this size are passed on once they are whole, so that a cut
# one can be replaced.  Source: sixteen times the usual answer of a service.
HELD_BODY_BYTES = 65_536
# A caller that comes back finds what was missing repaired: a part of the
# model that is lost is loaded again within a second or so.
RETRY_NO_ENDPOINT_S = 1.0
RETRY_REFUSED_S = 0.5
# A request that finds no room waits for it this long, looking again after
# each step.  Source: half of the usual goal for the first event, so that it
# can still be met.
HOLD_MAX_S = 0.25
HOLD_STEP_S = 0.06
# An answer that has begun waits this long for a way to go on.  Source: its
# caller leaves after a pause of two seconds.
RESUME_WITHIN_S = 1.6
FIRST_ERROR = 400
FIRST_SERVER_ERROR = 500


class Admitted:
    """A request that may run, with what the configuration says of it."""

    def __init__(
        self,
        req: RelayRequest,
        route: Route,
        service: Service,
        account: str | None,
        urgency: int,
    ) -> None:
        """Keep the request and the findings."""
        self.req = req
        self.route = route
        self.service = service
        self.account = account
        self.urgency = urgency


class Relay:
    """Send a request, again if need be, and pass one whole answer on."""

    def __init__(
        self,
        parts: RelayParts,
        admitted: Admitted,
        caller: CallerSide,
        now: float,
    ) -> None:
        """Prepare to send; nothing is sent yet."""
        self.admitted = admitted
        self.attempt: Attempt | None = None
        self.progress_at = now
        self.is_started = False
        self.is_over = False
        self._parts = parts
        self._caller = caller
        self._arrived_at = now
        patience_s = admitted.req.patience_s
        timeout_s = admitted.route.timeout_s
        if patience_s is not None:
            timeout_s = min(timeout_s, patience_s)
        self._ends_at = now + timeout_s
        self._timer: Any = None
        self._timer_hold: Any = None
        self._heads: dict[str, LiveEndpoint] = {}
        self._avoid: set[str] = set()
        self._refused_by: set[str] = set()
        self._unreached = 0
        self._sends = 0
        self._may_have_run = False
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._first_s: float | None = None
        self._longest_pause_s = float(0)
        self._order = EventOrder(admitted.req.resumes_after)

    @property
    def request_id(self) -> str:
        """Return the identifier of the request."""
        return self.admitted.req.request_id

    def begin(self) -> None:
        """Send the request for the first time."""
        parts = self._parts
        now = parts.clock()
        parts.running.add(self)
        left_s = max(0, self._ends_at - now)
        self._timer = parts.reactor.callLater(left_s, self._timed_out)
        parts.budget.note_request(self.admitted.service.name, now)
        self._look_for_room(Reason.NO_ENDPOINT, RETRY_NO_ENDPOINT_S)

    def caller_left(self) -> None:
        """Stop all work: nobody waits for the answer any more."""
        self._end('caller_left')

    def uses(self, name: str) -> bool:
        """Tell whether an endpoint works on the request now."""
        return self.attempt is not None and self.attempt.uses(name)

    def avoid(self, name: str) -> None:
        """Leave an endpoint out of later choices for this request."""
        self._avoid.add(name)

    def choose_moved(self, now: float) -> Chosen | None:
        """Return another chain with the same receiver."""
        if self.attempt is None:
            return None
        choice = replace(self._choice(), first=self.attempt.chosen[0])
        return self._parts.chooser.choose(choice, now)

    def may_run_elsewhere(self) -> bool:
        """Tell whether the answer may go on at another receiver."""
        route = self.admitted.route
        return route.is_resumable and len(self._used_heads()) < route.attempts

    def give_up_attempt(self, cause: str) -> None:
        """Cancel an attempt that makes no progress, and go on elsewhere."""
        if self.attempt is None or self.is_over:
            return
        self._parts.log.write('attempt_given_up', id=self.request_id, why=cause)
        self.attempt.cancel()
        self._failed(self.attempt, Failure.MAY_HAVE_RUN, cause)

    def attempt_answered(self, attempt: Attempt, head: Head) -> None:
        """Decide by the status of an answer."""
        if attempt is not self.attempt:
            return
        answer = self._parts.wire.understand(head, self.admitted.req)
        attempt.answer = answer
        if answer.kind is AnswerKind.NOT_RUN:
            self._not_run(attempt)
        elif answer.kind is AnswerKind.AMBIGUOUS:
            attempt.cancel()
            self._failed(attempt, Failure.MAY_HAVE_RUN, f'{head.status}')
        elif answer.kind is AnswerKind.FAILURE:
            self._may_have_run = True
            if self._repeats_failure(attempt):
                attempt.cancel()
                self._failed(attempt, Failure.FAILED, f'{head.status}')
        else:
            self._may_have_run = True

    def attempt_sent_body(self, attempt: Attempt, piece: bytes) -> None:
        """Pass on whole events, or hold a small body until it is whole."""
        if attempt is not self.attempt or attempt.answer is None:
            return
        if attempt.answer.is_event_stream:
            self._pass_events(attempt, piece)
        else:
            self._keep(attempt, piece)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Finish the caller's answer."""
        if attempt is not self.attempt or attempt.answer is None:
            return
        if attempt.answer.is_event_stream and attempt.splitter.has_rest:
            self._failed(attempt, Failure.MAY_HAVE_RUN, 'half an event')
            return
        self._start(attempt)
        self._flush()
        for stage in attempt.chosen:
            self._parts.endpoints.absolve(stage.endpoint.name)
        self._caller.finish()
        status = attempt.answer.status
        self._end(_outcome(status))

    def attempt_lost(self, attempt: Attempt, loss: Loss) -> None:
        """Decide what follows a broken connection."""
        if attempt is not self.attempt:
            return
        if loss is Loss.NOT_CONNECTED:
            self._unreached += 1
            self._heads.pop(attempt.head_name, None)
            self._blame(attempt.head_name, loss.value)
            self._failed(attempt, Failure.UNREACHED, loss.value)
            return
        if loss is Loss.CLOSED and attempt.answer is None:
            self._blame(attempt.head_name, loss.value)
        self._failed(attempt, Failure.MAY_HAVE_RUN, loss.value)

    def _send(self, chosen: Chosen, now: float) -> None:
        admitted = self.admitted
        may_send = not self._may_have_run or admitted.route.may_repeat
        require(Invariant.AT_MOST_ONCE, may_send, self.request_id)
        endpoints = [stage.endpoint for stage in chosen]
        require(
            Invariant.LEAVING_GETS_NO_WORK,
            all(map(self._parts.endpoints.takes_work, endpoints)),
            str([endpoint.name for endpoint in endpoints]),
        )
        self._order.begin_run()
        self._heads[chosen[0].endpoint.name] = chosen[0].endpoint
        self._sends += 1
        self.progress_at = now
        dispatch = Dispatch(
            endpoint=chosen[0].endpoint.name,
            address=chosen[0].endpoint.address,
            account=admitted.account,
            urgency=admitted.urgency,
            time_left_s=self._ends_at - now,
            chain=chain_of(chosen),
            resume_after=self._order.last if self.is_started else None,
        )
        self._parts.log.write(
            'sent',
            id=self.request_id,
            route=admitted.route.name,
            send=self._sends,
            to=[stage.endpoint.name for stage in chosen],
            list_revision=self._parts.endpoints.revision,
            resume_after=dispatch.resume_after,
        )
        self.attempt = Attempt(
            self._parts,
            Sending(admitted.req, dispatch, chosen),
            self,
            now,
        )

    def _choice(self) -> Choice:
        admitted = self.admitted
        heads = self._used_heads()
        if len(heads) < admitted.route.attempts:
            return Choice(
                admitted.service,
                admitted.req,
                frozenset(self._avoid | self._refused_by),
            )
        return Choice(
            admitted.service,
            admitted.req,
            frozenset(self._avoid - heads | self._refused_by),
            frozenset(heads),
        )

    def _used_heads(self) -> set[str]:
        """Return the receivers so far that are still there.

        The bound on attempts is one on endpoints; those that ended do not
        count.
        """
        endpoints = self._parts.endpoints
        return {
            name
            for name, endpoint in self._heads.items()
            if endpoints.is_there(endpoint)
        }

    def _not_run(self, attempt: Attempt) -> None:
        answer = attempt.answer
        faulty = answer.faulty_address if answer else None
        blamed = attempt.head_name
        blamed = next(
            (
                stage.endpoint.name
                for stage in attempt.chosen
                if stage.endpoint.address == faulty
            ),
            blamed,
        )
        attempt.cancel()
        self._refused_by.add(blamed)
        now = self._parts.clock()
        until = self._parts.endpoints.rest(blamed, now)
        self._parts.log.write(
            'resting',
            id=self.request_id,
            endpoint=blamed,
            for_s=round(until - now, 2),
        )
        cause = f'refused by {blamed}'
        self._failed(attempt, Failure.NOT_RUN, cause)

    def _blame(self, name: str, why: str) -> None:
        self._avoid.add(name)
        endpoint = self._parts.endpoints.get(name)
        if endpoint is not None:
            now = self._parts.clock()
            until = self._parts.endpoints.suspect(name, now)
            self._parts.log.write(
                'suspect',
                id=self.request_id,
                endpoint=name,
                why=why,
                for_s=round(until - now, 2),
            )
            self._parts.on_suspect(endpoint, why)

    def _failed(self, attempt: Attempt, failure: Failure, cause: str) -> None:
        now = self._parts.clock()
        if failure is Failure.MAY_HAVE_RUN:
            self._may_have_run = True
        if failure is Failure.FAILED or failure is Failure.MAY_HAVE_RUN:
            self._avoid.add(attempt.head_name)
        step = next_step(self._situation(failure, now))
        chosen = None
        if step is Next.TRY_AGAIN:
            chosen = self._parts.chooser.choose(self._choice(), now)
            if chosen is None:
                step = next_step(self._situation(failure, self._ends_at))
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
        step: Next,
        chosen: Chosen | None,
        cause: str,
        now: float,
    ) -> None:
        if step is Next.TRY_AGAIN and chosen is not None:
            service = self.admitted.service.name
            self._parts.budget.spend(service, now, self._parts.entries())
            self._parts.metrics.retried(cause.split(' ')[0])
            self._held.clear()
            self._held_bytes = 0
            self._send(chosen, now)
        elif step is Next.REFUSE:
            self._hold(Reason.ENDPOINT_REFUSED, RETRY_REFUSED_S)
        elif self.is_started:
            self._hold_started(now)
        else:
            self._refuse(Reason.OUTCOME_UNKNOWN)

    def _hold_started(self, now: float) -> None:
        """Wait for a way to go on with an answer, or break it off."""
        pause_s = now - self.progress_at
        if not self.admitted.route.is_resumable or pause_s > RESUME_WITHIN_S:
            self._caller.abort()
            self._end('broken_off')
            return
        self._timer_hold = self._parts.reactor.callLater(
            HOLD_STEP_S,
            self._go_on,
        )

    def _go_on(self) -> None:
        """Run again from the last event, if there is a way by now."""
        self._timer_hold = None
        self._refused_by.clear()
        now = self._parts.clock()
        entries = self._parts.entries()
        service = self.admitted.service.name
        chosen = self._parts.chooser.choose(self._choice(), now)
        if chosen and self._parts.budget.spend(service, now, entries):
            self._resend(chosen, now)
        else:
            self._hold_started(now)

    def _resend(self, chosen: Chosen, now: float) -> None:
        """Send again; the pause of the caller's answer goes on."""
        progress_at = self.progress_at
        self._send(chosen, now)
        if self.is_started:
            self.progress_at = progress_at

    def _look_for_room(self, reason: Reason, retry_after_s: float) -> None:
        """Send if there is room; else wait a little, or refuse."""
        self._timer_hold = None
        self._refused_by.clear()
        now = self._parts.clock()
        chosen = self._parts.chooser.choose(self._choice(), now)
        if chosen is None:
            self._hold(reason, retry_after_s)
            return
        if self._sends:
            service = self.admitted.service.name
            self._parts.budget.spend(service, now, self._parts.entries())
        self._send(chosen, now)

    def _hold(self, reason: Reason, retry_after_s: float) -> None:
        """Look for room again in a moment, unless it has been too long."""
        parts = self._parts
        now = parts.clock()
        waits_s = now + HOLD_STEP_S - self._arrived_at
        service = self.admitted.service
        has_budget = parts.budget.left(service.name, now, parts.entries()) >= 1
        if service.engine is None or waits_s > HOLD_MAX_S or not has_budget:
            self._refuse(reason, retry_after_s)
            return
        parts.log.write('held', id=self.request_id, why=reason.value)
        self._timer_hold = parts.reactor.callLater(
            HOLD_STEP_S,
            self._look_for_room,
            reason,
            retry_after_s,
        )

    def _situation(self, failure: Failure, now: float) -> Situation:
        service = self.admitted.service.name
        entries = self._parts.entries()
        route = self.admitted.route
        resumes = self.is_started and route.is_resumable
        is_spent = len(self._used_heads()) >= route.attempts
        return Situation(
            failure=failure,
            may_repeat=route.may_repeat and (resumes or not self.is_started),
            may_have_run=self._may_have_run,
            is_started=self.is_started,
            attempts_left=0 if is_spent and not resumes else 1,
            unreached=self._unreached,
            time_left_s=self._ends_at - now,
            has_budget=self._parts.budget.left(service, now, entries) >= 1,
        )

    def _repeats_failure(self, attempt: Attempt) -> bool:
        """Tell whether an endpoint's failure is worth another attempt."""
        answer = attempt.answer
        if answer is None or answer.status < FIRST_SERVER_ERROR:
            return False
        now = self._parts.clock()
        situation = self._situation(Failure.FAILED, now)
        if next_step(situation) is not Next.TRY_AGAIN:
            return False
        self._avoid.add(attempt.head_name)
        return self._parts.chooser.choose(self._choice(), now) is not None

    def _pass_events(self, attempt: Attempt, piece: bytes) -> None:
        now = self._parts.clock()
        events = attempt.splitter.feed(piece)
        if attempt.splitter.is_overlong:
            attempt.cancel()
            self._failed(attempt, Failure.MAY_HAVE_RUN, 'overlong event')
            return
        if events:
            self._note_progress(now)
        passed = self._order.take(events)
        if passed:
            self._start(attempt)
            self._caller.write(passed)
        if self._order.misses_event:
            attempt.cancel()
            self._failed(attempt, Failure.MAY_HAVE_RUN, 'event missing')

    def _note_progress(self, now: float) -> None:
        if self.is_started:
            pause_s = now - self.progress_at
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self.progress_at = now

    def _keep(self, attempt: Attempt, piece: bytes) -> None:
        self._held.append(piece)
        self._held_bytes += len(piece)
        if self._held_bytes > HELD_BODY_BYTES or self.is_started:
            self._start(attempt)
            self._flush()

    def _flush(self) -> None:
        for piece in self._held:
            self._caller.write(piece)
        self._held.clear()

    def _start(self, attempt: Attempt) -> None:
        answer = attempt.answer
        if self.is_started or answer is None:
            return
        self.is_started = True
        headers = answer.headers
        if answer.is_event_stream:
            # A resumed stream may have another length than its first run.
            headers = tuple(
                pair for pair in headers if pair[0] != b'content-length'
            )
        now = self._parts.clock()
        self._first_s = now - self._arrived_at
        self._parts.metrics.first_byte(self._first_s)
        self._caller.start(answer.status, headers)
        self._caller.flow_from(attempt.transport)

    def _refuse(
        self,
        reason: Reason,
        retry_after_s: float | None = None,
    ) -> None:
        refusal = RelayRefusal(reason, retry_after_s)
        if refusal.status == UNAVAILABLE:
            require(
                Invariant.NOT_RUN_IS_TRUE,
                not self._may_have_run,
                self.request_id,
            )
        answer_refusal(self._caller, refusal)
        self._end(reason.value)

    def _timed_out(self) -> None:
        self._timer = None
        if self.attempt is not None and not self.attempt.is_over:
            self._may_have_run = True
        if self.is_started:
            self._caller.abort()
            self._end('timeout')
        elif self._may_have_run:
            self._refuse(Reason.TIMEOUT)
        else:
            self._refuse(Reason.TIMEOUT_BEFORE_RUN)

    def _end(self, outcome: str) -> None:
        if self.is_over:
            return
        self.is_over = True
        self._caller.flow_from(None)
        if self.attempt is not None:
            self.attempt.cancel()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._timer_hold is not None:
            self._timer_hold.cancel()
            self._timer_hold = None
        self._parts.running.discard(self)
        now = self._parts.clock()
        took_s = now - self._arrived_at
        self._parts.metrics.ended(outcome, took_s)
        self._parts.log.write(
            'ended',
            id=self.request_id,
            route=self.admitted.route.name,
            account=self.admitted.account,
            outcome=outcome,
            sends=self._sends,
            last_event=self._order.last,
            first_s=self._first_s and round(self._first_s, 3),
            longest_pause_s=round(self._longest_pause_s, 3),
            took_s=round(took_s, 3),
        )


def chain_of(chosen: Chosen) -> tuple[tuple[str, int, int], ...]:
    """Return address, first and end layer of each stage of a chain."""
    return tuple(
        (stage.endpoint.address, stage.layers.first, stage.layers.end)
        for stage in chosen
        if stage.layers is not None
    )


def _outcome(status: int) -> str:
    return 'answered' if status < FIRST_ERROR else f'status_{status}'


def answer_refusal(caller: CallerSide, refusal: RelayRefusal) -> None:
    """Give a caller a final answer of our own."""
    body = b'{"error":"%s"}' % refusal.reason.value.encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', b'%d' % len(body)),
    ]
    if refusal.retry_after_s is not None:
        wait = f'{refusal.retry_after_s:.2f}'.encode()
        headers.append((b'retry-after', wait))
    caller.start(refusal.status, tuple(headers))
    caller.write(body)
    caller.finish()
