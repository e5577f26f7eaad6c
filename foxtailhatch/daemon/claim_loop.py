"""Log I/O for the claims on requests that run at most once."""

import asyncio
from collections.abc import Iterable

from returns.result import Success

from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.durable import (
    AppendClaimBatch,
    ClaimManager,
    ClaimRequest,
    Decision,
    LogAvailability,
    LogFollower,
    MayRun,
    ReadStream,
    Refuse,
    Replay,
)
from foxtailhatch.durable.claim_refusals import outcome_unknown
from foxtailhatch.outside import LogService


class ClaimLoop:
    """Make the log calls that claims need, and resolve pending decisions.

    All times are wall time, since keys and log records carry wall time.
    """

    def __init__(
        self,
        board: Blackboard,
        manager: ClaimManager,
        log: LogService,
        follower: LogFollower,
    ) -> None:
        """Start with no pending claim; nothing is read yet."""
        self.manager = manager
        self._board = board
        self._log = log
        self._follower = follower
        self._waiting: dict[str, asyncio.Future[Decision]] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self._failure: BaseException | None = None

    async def step(self) -> None:
        """Start the log calls that are due, and resolve expired claims.

        Raise the exception of a failed task, if there is one.
        """
        # Tasks run on their own; raising their exceptions here makes the loop
        # that started them stop the process on a violated invariant.
        failure = self._failure
        self._failure = None
        if failure is not None:
            raise failure
        self._start_due_calls()
        now = self._board.wall_time()
        self._resolve(self.manager.step(now, self._log_is_up()))

    async def decide(self, req: ClaimRequest) -> Decision:
        """Claim the key of a request and wait for the decision."""
        now = self._board.wall_time()
        decision = self.manager.submit(now, req, self._log_is_up())
        if isinstance(decision, MayRun | Replay | Refuse):
            return decision
        if decision is not None:
            return Refuse(req.request_id, outcome_unknown())
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Decision] = loop.create_future()
        self._waiting[req.request_id] = future
        self._start_due_calls()
        return await future

    def _start_due_calls(self) -> None:
        for action in self.manager.due_actions(self._board.wall_time()):
            call = asyncio.ensure_future(self._carry_out(action))
            self._calls.add(call)
            call.add_done_callback(self._call_done)

    def _call_done(self, call: asyncio.Task[None]) -> None:
        self._calls.discard(call)
        if not call.cancelled() and self._failure is None:
            self._failure = call.exception()

    def _log_is_up(self) -> bool:
        return self._follower.availability is not LogAvailability.DOWN

    async def _carry_out(self, action: ReadStream | AppendClaimBatch) -> None:
        match action:
            case ReadStream():
                await self._read(action)
            case AppendClaimBatch():
                await self._append(action)
        # A response may make further calls due; the next step is too late.
        self._start_due_calls()

    async def _read(self, action: ReadStream) -> None:
        page = await self._log.read(action.stream, action.offset, action.limit)
        now = self._board.wall_time()
        if isinstance(page, Success):
            decisions = self.manager.handle_page(
                now, action.stream, page.unwrap()
            )
            self._resolve(decisions)
        else:
            self._board.metrics.count_log_fault(page.failure().fault)
            self.manager.handle_read_failure(now, action.stream)

    async def _append(self, action: AppendClaimBatch) -> None:
        appended = await self._log.append(action.stream, action.body)
        now = self._board.wall_time()
        if isinstance(appended, Success):
            self.manager.handle_append(now, action.stream, action.batch_id)
        else:
            fault = appended.failure().fault
            self._board.metrics.count_log_fault(fault)
            self.manager.handle_append_failure(now, action, fault)

    def _resolve(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            future = self._waiting.pop(decision.request_id, None)
            if future is not None and not future.done():
                future.set_result(decision)
