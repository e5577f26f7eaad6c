"""Requests that run at most once: claims read, written and waited for."""

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
    """Carry out what the claim desk asks for, and wake who waits for it.

    ``now`` is wall time, since keys and log records carry wall time.
    """

    def __init__(
        self,
        board: Blackboard,
        manager: ClaimManager,
        log: LogService,
        follower: LogFollower,
    ) -> None:
        """Join the parts; nothing is read yet."""
        self.manager = manager
        self._board = board
        self._log = log
        self._follower = follower
        self._waiting: dict[str, asyncio.Future[Decision]] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self._failure: BaseException | None = None

    async def step(self) -> None:
        """Start the log calls that are due, and settle what time settles."""
        # What a call raised is raised in the loop that started it.
        failure = self._failure
        self._failure = None
        if failure is not None:
            raise failure
        self._start_due()
        now = self._board.wall_time()
        self._settle(self.manager.step(now, self._log_up()))

    async def decide(self, req: ClaimRequest) -> Decision:
        """Claim the key of a request, and wait until that is decided."""
        now = self._board.wall_time()
        decision = self.manager.submit(now, req, self._log_up())
        if isinstance(decision, MayRun | Replay | Refuse):
            return decision
        if decision is not None:
            return Refuse(req.request_id, outcome_unknown())
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[Decision] = loop.create_future()
        self._waiting[req.request_id] = waiting
        self._start_due()
        return await waiting

    def _start_due(self) -> None:
        for action in self.manager.due_actions(self._board.wall_time()):
            call = asyncio.ensure_future(self._carry_out(action))
            self._calls.add(call)
            call.add_done_callback(self._called)

    def _called(self, call: asyncio.Task[None]) -> None:
        self._calls.discard(call)
        if not call.cancelled() and self._failure is None:
            self._failure = call.exception()

    def _log_up(self) -> bool:
        return self._follower.availability is not LogAvailability.DOWN

    async def _carry_out(self, action: ReadStream | AppendClaimBatch) -> None:
        match action:
            case ReadStream():
                await self._read(action)
            case AppendClaimBatch():
                await self._append(action)
        # What an answer makes due does not wait for the next step.
        self._start_due()

    async def _read(self, due: ReadStream) -> None:
        page = await self._log.read(due.stream, due.offset, due.limit)
        now = self._board.wall_time()
        if isinstance(page, Success):
            decisions = self.manager.handle_page(now, due.stream, page.unwrap())
            self._settle(decisions)
        else:
            self._board.metrics.count_log_fault(page.failure().fault)
            self.manager.handle_read_failure(now, due.stream)

    async def _append(self, due: AppendClaimBatch) -> None:
        appended = await self._log.append(due.stream, due.body)
        now = self._board.wall_time()
        if isinstance(appended, Success):
            self.manager.handle_append(now, due.stream, due.batch_id)
        else:
            fault = appended.failure().fault
            self._board.metrics.count_log_fault(fault)
            self.manager.handle_append_failure(now, due, fault)

    def _settle(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            waiting = self._waiting.pop(decision.request_id, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(decision)
