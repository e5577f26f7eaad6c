"""The answers of this entry, from admission to their end."""

from collections import Counter
from collections.abc import Callable, Iterable

from returns.pipeline import is_successful

from foxtailhatch.callers.gateway import AnswerSink, GenerateRequest
from foxtailhatch.core import EventKind, Refusal
from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.daemon.answer_driver import AnswerDriver, AnswerOutcome
from foxtailhatch.daemon.answer_load import AnswerLoad
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.chain_source import PoolChainSource
from foxtailhatch.daemon.endpoint_monitor import EndpointMonitor
from foxtailhatch.daemon.grants import AuthorizedAnswer
from foxtailhatch.daemon.session_pool import SessionPool
from foxtailhatch.daemon.stall_policy import BudgetedStallPolicy
from foxtailhatch.limits import RefusedTicket, Ticket
from foxtailhatch.pipeline import (
    Action,
    AnswerFailed,
    AnswerFinished,
    AnswerRecovered,
    AnswerRun,
    ChainStarted,
    StageDenied,
    StageReady,
    StepCompleted,
)
from foxtailhatch.pipeline.answer import PROMPT_SUSPECTED
from foxtailhatch.recovery.failed_requests import answer_fingerprint
from foxtailhatch.routing import ChainChooser

TICK_PERIOD_S = 0.02
IDLE_TICK_PERIOD_S = 0.1
LATE_TICK_GAP_S = 0.05


class AnswerHandle:
    """The handle of one answer for the HTTP front, queued or running."""

    def __init__(
        self,
        req: GenerateRequest,
        authorized: AuthorizedAnswer,
        sink: AnswerSink,
        withdraw: Callable[['AnswerHandle'], None],
    ) -> None:
        """Hold a queued request; ``withdraw`` removes it from the queue."""
        self.req = req
        self.authorized = authorized
        self.sink = sink
        self.driver: AnswerDriver | None = None
        self.load: AnswerLoad | None = None
        self.paused = False
        self._withdraw = withdraw

    def cancel(self) -> None:
        """Stop the answer, for example because the caller disconnected."""
        if self.driver is None:
            self._withdraw(self)
        else:
            self.driver.cancel()

    def pause(self) -> None:
        """Stop producing tokens until :meth:`resume`, for backpressure."""
        self.paused = True
        if self.driver is not None:
            self.driver.pause()

    def resume(self) -> None:
        """Continue to produce tokens."""
        self.paused = False
        if self.driver is not None:
            self.driver.resume()


class Answers:
    """Admit requests, run them, and update the blackboard's counts.

    ``recoveries`` counts the attempts started after a failed one.
    """

    def __init__(
        self,
        board: Blackboard,
        endpoint_monitor: EndpointMonitor,
        sessions: SessionPool,
        chooser: ChainChooser,
        clock: ReactorClock,
    ) -> None:
        """Start with no answers."""
        self.recoveries = 0
        self._board = board
        self._endpoint_monitor = endpoint_monitor
        self._sessions = sessions
        self._chooser = chooser
        self._clock = clock
        self._stall_policy = BudgetedStallPolicy(
            board.stall_detector, board.retry_budget
        )
        self._handles: dict[str, AnswerHandle] = {}
        self._last_tick_at = float(0)

    def __len__(self) -> int:
        """Return the number of queued and running answers."""
        return len(self._handles)

    def admit(
        self,
        req: GenerateRequest,
        authorized: AuthorizedAnswer,
        sink: AnswerSink,
    ) -> AnswerHandle:
        """Queue a request, and schedule the start of admitted requests.

        A request refused by the admission control fails through ``sink``.
        """
        now = self.now()
        self._board.shares.record_request(req.caller.account, now)
        handle = AnswerHandle(req, authorized, sink, self._withdraw)
        if self._board.entries.has_failed(_fingerprint(req)):
            self._refuse(handle, PROMPT_SUSPECTED)
            return handle
        ticket = _ticket(req, authorized, now)
        offered = self._board.admission.submit(ticket, now)
        if not is_successful(offered):
            self._refuse(handle, offered.failure())
            return handle
        self._board.retry_budget.record_request()
        self._handles[req.request_id] = handle
        self._refuse_tickets(offered.unwrap().evicted)
        self._clock.callLater(0, self._start_ready)
        return handle

    async def tick(self) -> None:
        """Expire queued requests and check all answers for stalled stages."""
        self._endpoint_monitor.pause_detector.record_running()
        now = self.now()
        self._refuse_tickets(self._board.admission.expire(now))
        self._announce_failed_requests(now)
        tick_is_late = now - self._last_tick_at > LATE_TICK_GAP_S
        self._last_tick_at = now
        # After a pause of this process, frames that arrived meanwhile are not
        # read yet.  Timeouts are checked only after the next loop iteration,
        # so that no endpoint is replaced because of this process's pause.
        if tick_is_late:
            return
        running = [
            each.driver for each in self._handles.values() if each.driver
        ]
        self._stall_policy.prefill_in_flight = _prefill_in_flight(running)
        for driver in running:
            driver.tick(self._stall_policy)
        self._start_ready()

    def open_requests_by_account(self) -> Counter[str]:
        """Return the number of queued and running answers of each account."""
        return Counter(
            handle.req.caller.account for handle in self._handles.values()
        )

    def tick_delay_s(self) -> float:
        """Return the delay until the next tick, longer without answers."""
        return TICK_PERIOD_S if self._handles else IDLE_TICK_PERIOD_S

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self._clock.seconds()

    def accepts_new_work(self, endpoint: str) -> bool:
        """Return whether new work may be sent to an endpoint now."""
        return self._endpoint_monitor.accepts_new_work(endpoint)

    def handle_action(self, answer: AnswerDriver, action: Action) -> None:
        """Update load, health, metrics and timeline for an answer's action."""
        handle = self._handles.get(answer.stream)
        if handle is not None and handle.load is not None:
            handle.load.handle_action(action, self.now())
        match action:
            case StepCompleted():
                self._step_completed(action)
            case ChainStarted():
                self._chain_started(answer, action)
            case StageReady(endpoint, cached):
                self._endpoint_monitor.stage_opened(endpoint)
                self._stage_ready(answer, endpoint, cached)
            case StageDenied(endpoint, fault):
                self._endpoint_monitor.stage_refused(endpoint, fault)
            case AnswerRecovered(seconds):
                self._board.metrics.count_recovery(seconds)

    def ended(self, answer: AnswerDriver, outcome: AnswerOutcome) -> None:
        """Release the resources of an answer and start queued requests."""
        handle = self._handles.pop(answer.stream)
        now = self.now()
        if handle.load is not None:
            handle.load.close(now)
        work = answer.delivered - len(answer.run.plan.received)
        self._board.metrics.tokens_delivered += work
        if isinstance(outcome, AnswerFailed):
            self._record_failure(handle, outcome, now)
            if answer.run.attempt_number > 1:
                self._board.metrics.count_failed_recovery()
        self._board.admission.finish(answer.stream, now, max(1, work))
        self._board.record(
            _event_kind(outcome), answer.stream, _event_detail(outcome)
        )
        self._clock.callLater(0, self._start_ready)

    def _record_failure(
        self, handle: AnswerHandle, failure: AnswerFailed, now: float
    ) -> None:
        """Let all entries refuse a request under which endpoints failed."""
        if failure.refusal is PROMPT_SUSPECTED:
            self._board.failed_requests.add(_fingerprint(handle.req), now)
            self._announce_failed_requests(now)

    def _announce_failed_requests(self, now: float) -> None:
        entries = self._board.entries
        failed = self._board.failed_requests.current(now)
        if failed != entries.own.failed_requests:
            entries.update_own(failed_requests=failed)

    def _start_ready(self) -> None:
        if not self._endpoint_monitor.pause_detector.is_current():
            return
        started = self._board.admission.start_ready(self.now())
        # The chooser favours throughput over latency while requests are queued.
        self._board.pool.queued_requests = len(self._board.admission.waiting)
        for ticket in started:
            self._start(self._handles[ticket.ticket_id])

    def _start(self, handle: AnswerHandle) -> None:
        chains = PoolChainSource(
            self._chooser,
            self._board.pool,
            handle.authorized.access,
            self._board.desired_states.by_endpoint,
        )
        plan = handle.authorized.plan
        run = AnswerRun(plan, chains, self._board.retained_bytes)
        handle.load = AnswerLoad(self._board.pool, len(plan.prompt))
        handle.driver = AnswerDriver(run, handle.sink, self._sessions, self)
        self._board.record(EventKind.REQUEST_ADMITTED, plan.stream, plan.model)
        if handle.paused:
            handle.driver.pause()
        handle.driver.begin()

    def _withdraw(self, handle: AnswerHandle) -> None:
        request_id = handle.req.request_id
        if self._board.admission.cancel(request_id) is not None:
            self._handles.pop(request_id)
            self._board.record(
                EventKind.REQUEST_CANCELLED, request_id, 'waiting'
            )

    def _refuse_tickets(self, refused: Iterable[RefusedTicket]) -> None:
        for ticket_refusal in refused:
            handle = self._handles.pop(ticket_refusal.ticket.ticket_id)
            self._refuse(handle, ticket_refusal.refusal)

    def _refuse(self, handle: AnswerHandle, refusal: Refusal) -> None:
        request_id = handle.req.request_id
        self._board.record(EventKind.REQUEST_REFUSED, request_id, refusal.code)
        # Deferred, so that the front has its handle before the answer ends.
        self._clock.callLater(0, handle.sink.failed, refusal)

    def _chain_started(
        self, answer: AnswerDriver, action: ChainStarted
    ) -> None:
        kind = EventKind.CHAIN_SELECTED
        if action.attempt > 1:
            self.recoveries += 1
            kind = EventKind.ANSWER_RECOVERED
        names = '>'.join(stage.endpoint for stage in action.chain.stages)
        self._board.record(kind, answer.stream, f'{action.attempt}:{names}')

    def _stage_ready(
        self,
        answer: AnswerDriver,
        endpoint: str,
        cached: int,
    ) -> None:
        blocks = answer.run.plan.blocks
        prefixes = self._board.pool.prefix_index
        prefixes.record_stage_opened(endpoint, blocks, cached, self.now())
        # The prefill that follows puts the whole prompt into the cache.
        prefixes.record_prefilled(endpoint, blocks, self.now())

    def _step_completed(self, step: StepCompleted) -> None:
        self._board.stall_detector.add_duration(
            step.endpoint,
            step.positions,
            step.seconds,
        )
        self._stall_policy.record_progress(step.endpoint)
        self._endpoint_monitor.record_success(step.endpoint)


def _prefill_in_flight(running: Iterable[AnswerDriver]) -> Counter[str]:
    positions_by_endpoint: Counter[str] = Counter()
    for driver in running:
        for endpoint, positions in driver.run.prefill_in_flight():
            positions_by_endpoint[endpoint] += positions
    return positions_by_endpoint


def _fingerprint(req: GenerateRequest) -> str:
    return answer_fingerprint(req.caller.account, req.model, req.prompt)


def _ticket(
    req: GenerateRequest,
    authorized: AuthorizedAnswer,
    now: float,
) -> Ticket:
    deadline = None if req.deadline_s is None else now + req.deadline_s
    return Ticket(
        ticket_id=req.request_id,
        caller=req.caller,
        arrived_at=now,
        priority=authorized.plan.priority,
        work=max(1, req.max_tokens - len(req.received)),
        deadline=deadline,
    )


def _event_kind(outcome: AnswerOutcome) -> EventKind:
    match outcome:
        case AnswerFinished():
            return EventKind.REQUEST_FINISHED
        case AnswerFailed():
            return EventKind.REQUEST_REFUSED
    return EventKind.REQUEST_CANCELLED


def _event_detail(outcome: AnswerOutcome) -> str:
    match outcome:
        case AnswerFinished(reason):
            return reason
        case AnswerFailed(refusal):
            return refusal.code
    return ''
