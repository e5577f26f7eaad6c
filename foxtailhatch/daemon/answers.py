"""All answers of this entry: admitted, started, followed and ended."""

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
from foxtailhatch.daemon.grants import GrantedAnswer
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
    StepAnswered,
)
from foxtailhatch.routing import ChainChooser

TICK_S = 0.02
IDLE_TICK_S = 0.1
LATE_TICK_S = 0.05


class AnswerHandle:
    """The front's handle on one answer, before and after its start."""

    def __init__(
        self,
        req: GenerateRequest,
        granted: GrantedAnswer,
        sink: AnswerSink,
        withdraw: Callable[['AnswerHandle'], None],
    ) -> None:
        """Hold a request that waits; ``withdraw`` takes it back."""
        self.req = req
        self.granted = granted
        self.sink = sink
        self.driver: AnswerDriver | None = None
        self.load: AnswerLoad | None = None
        self.paused = False
        self._withdraw = withdraw

    def cancel(self) -> None:
        """Stop the answer, as when the caller hung up."""
        if self.driver is None:
            self._withdraw(self)
        else:
            self.driver.cancel()

    def pause(self) -> None:
        """Stop producing tokens: the caller reads too slowly."""
        self.paused = True
        if self.driver is not None:
            self.driver.pause()

    def resume(self) -> None:
        """Go on producing tokens."""
        self.paused = False
        if self.driver is not None:
            self.driver.resume()


class Answers:
    """Admit requests, run them, and keep the blackboard's counts right."""

    def __init__(
        self,
        board: Blackboard,
        endpoint_monitor: EndpointMonitor,
        sessions: SessionPool,
        chooser: ChainChooser,
        clock: ReactorClock,
    ) -> None:
        """Start with no answer."""
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
        self._ticked_at = float(0)

    def __len__(self) -> int:
        """Return the number of answers that wait or run."""
        return len(self._handles)

    def admit(
        self,
        req: GenerateRequest,
        granted: GrantedAnswer,
        sink: AnswerSink,
    ) -> AnswerHandle:
        """Queue a request and start what may start now."""
        now = self.now()
        self._board.shares.note_request(req.caller.account, now)
        handle = AnswerHandle(req, granted, sink, self._withdraw)
        ticket = _ticket(req, granted, now)
        offered = self._board.admission.submit(ticket, now)
        if not is_successful(offered):
            self._refuse(handle, offered.failure())
            return handle
        self._board.retry_budget.note_request()
        self._handles[req.request_id] = handle
        self._refuse_tickets(offered.unwrap().evicted)
        self._clock.callLater(0, self._start_ready)
        return handle

    async def tick(self) -> None:
        """Let time pass for the queue and for every answer."""
        self._endpoint_monitor.pause_detector.note_running()
        now = self.now()
        self._refuse_tickets(self._board.admission.expire(now))
        late = now - self._ticked_at > LATE_TICK_S
        self._ticked_at = now
        # After a pause of this process the frames of the meantime are still
        # unread, so no endpoint is blamed before the loop has turned again.
        if late:
            return
        running = [
            each.driver for each in self._handles.values() if each.driver
        ]
        self._stall_policy.prefill_in_flight = _prefill_of(running)
        for driver in running:
            driver.tick(self._stall_policy)
        self._start_ready()

    def open_requests_by_account(self) -> Counter[str]:
        """Return how many answers of each account wait or run."""
        return Counter(
            handle.req.caller.account for handle in self._handles.values()
        )

    def tick_delay_s(self) -> float:
        """Return the pause until the next tick, longer when nothing runs."""
        return TICK_S if self._handles else IDLE_TICK_S

    def now(self) -> float:
        """Return the present time in seconds."""
        return self._clock.seconds()

    def accepts_new_work(self, endpoint: str) -> bool:
        """Tell whether new work may be sent to an endpoint now."""
        return self._endpoint_monitor.accepts_new_work(endpoint)

    def handle_action(self, answer: AnswerDriver, action: Action) -> None:
        """Take in what an answer did."""
        handle = self._handles.get(answer.stream)
        if handle is not None and handle.load is not None:
            handle.load.handle_action(action, self.now())
        match action:
            case StepAnswered():
                self._step_answered(action)
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
        """Free what an answer held."""
        handle = self._handles.pop(answer.stream)
        now = self.now()
        if handle.load is not None:
            handle.load.close(now)
        work = answer.delivered - len(answer.run.plan.received)
        self._board.metrics.tokens_delivered += work
        if isinstance(outcome, AnswerFailed) and answer.run.attempt_number > 1:
            self._board.metrics.count_failed_recovery()
        self._board.admission.finish(answer.stream, now, max(1, work))
        self._board.record(_event_of(outcome), answer.stream, _detail(outcome))
        self._clock.callLater(0, self._start_ready)

    def _start_ready(self) -> None:
        if not self._endpoint_monitor.pause_detector.is_current():
            return
        started = self._board.admission.start_ready(self.now())
        # While requests wait, the chooser puts throughput before latency.
        self._board.pool.queued_requests = len(self._board.admission.waiting)
        for ticket in started:
            self._start(self._handles[ticket.ticket_id])

    def _start(self, handle: AnswerHandle) -> None:
        chains = PoolChainSource(
            self._chooser,
            self._board.pool,
            handle.granted.granted,
            self._board.desired_states.by_endpoint,
        )
        plan = handle.granted.plan
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
        for gone in refused:
            handle = self._handles.pop(gone.ticket.ticket_id)
            self._refuse(handle, gone.refusal)

    def _refuse(self, handle: AnswerHandle, refusal: Refusal) -> None:
        request_id = handle.req.request_id
        self._board.record(EventKind.REQUEST_REFUSED, request_id, refusal.code)
        # The front gets its handle before it hears of the end.
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
        prefixes.note_stage_opened(endpoint, blocks, cached, self.now())
        # The prefill that follows leaves the whole prompt there.
        prefixes.note_prefilled(endpoint, blocks, self.now())

    def _step_answered(self, step: StepAnswered) -> None:
        self._board.stall_detector.add_duration(
            step.endpoint,
            step.positions,
            step.seconds,
        )
        self._stall_policy.record_progress(step.endpoint)
        self._endpoint_monitor.record_success(step.endpoint)


def _prefill_of(running: Iterable[AnswerDriver]) -> Counter[str]:
    awaited: Counter[str] = Counter()
    for driver in running:
        for endpoint, positions in driver.run.prefill_in_flight():
            awaited[endpoint] += positions
    return awaited


def _ticket(
    req: GenerateRequest,
    granted: GrantedAnswer,
    now: float,
) -> Ticket:
    deadline = None if req.deadline_s is None else now + req.deadline_s
    return Ticket(
        ticket_id=req.request_id,
        caller=req.caller,
        arrived_at=now,
        priority=granted.plan.priority,
        work=max(1, req.max_tokens - len(req.received)),
        deadline=deadline,
    )


def _event_of(outcome: AnswerOutcome) -> EventKind:
    match outcome:
        case AnswerFinished():
            return EventKind.REQUEST_FINISHED
        case AnswerFailed():
            return EventKind.REQUEST_REFUSED
    return EventKind.REQUEST_CANCELLED


def _detail(outcome: AnswerOutcome) -> str:
    match outcome:
        case AnswerFinished(reason):
            return reason
        case AnswerFailed(refusal):
            return refusal.code
    return ''
