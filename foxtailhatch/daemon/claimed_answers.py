"""Answers that run at most once for each idempotency key."""

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from pydantic import TypeAdapter, ValidationError
from returns.result import Success

from foxtailhatch.callers.gateway import (
    AnswerSink,
    FinishReason,
    GenerateRequest,
)
from foxtailhatch.core import InvariantViolation, Refusal, RunState
from foxtailhatch.daemon.answers import AnswerHandle, Answers
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.claim_loop import ClaimLoop
from foxtailhatch.daemon.claimed_calls import (
    ANSWER_NOT_KEPT,
    CLAIM_WAIT_S,
    KEY_REQUIRED,
)
from foxtailhatch.daemon.grants import AuthorizedAnswer
from foxtailhatch.durable import (
    ClaimManager,
    ClaimRequest,
    KeyOwner,
    MayRun,
    Outcome,
    Refuse,
)

STORED_STATUS = 200
STORED_CONTENT_TYPE = 'application/json'


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer as stored in the log, to be replayed on a retry."""

    tokens: tuple[int, ...]
    reason: FinishReason


_STORED_ANSWER: TypeAdapter[StoredAnswer] = TypeAdapter(StoredAnswer)


class RecordingSink:
    """Forward an answer, and record its outcome with the claim."""

    def __init__(
        self,
        req: GenerateRequest,
        sink: AnswerSink,
        manager: ClaimManager,
    ) -> None:
        """Start with the tokens that the caller already has."""
        self.ended = False
        self._id = req.request_id
        self._sink = sink
        self._manager = manager
        self._tokens = list(req.received)

    def token(self, index: int, token: int) -> None:
        """Store and forward one token."""
        self._tokens.append(token)
        self._sink.token(index, token)

    def finished(self, reason: FinishReason) -> None:
        """Record the complete answer, so that a retry replays it."""
        self.ended = True
        body = _STORED_ANSWER.dump_json(
            StoredAnswer(tuple(self._tokens), reason)
        )
        outcome = Outcome(
            RunState.RAN, STORED_STATUS, STORED_CONTENT_TYPE, body
        )
        self._manager.record_outcome(self._id, outcome)
        self._sink.finished(reason)

    def failed(self, refusal: Refusal) -> None:
        """Release the key if nothing ran; otherwise record that it may have."""
        self._sink.failed(replace(refusal, run=self.abandon(refusal.run)))

    def abandon(self, run: RunState) -> RunState:
        """Record an answer without outcome, and return its run state.

        The key is released if nothing ran.
        """
        self.ended = True
        if run is RunState.NOT_RUN:
            self._manager.handle_not_executed(self._id)
            return self._manager.release(self._id).refusal.run
        self._manager.handle_lost_response(self._id)
        return run


class ClaimedAnswerHandle:
    """The handle of an answer whose key is claimed before its admission."""

    def __init__(self) -> None:
        """Start with an undecided claim and no admitted answer."""
        self.is_cancelled = False
        self.is_paused = False
        self.sink: RecordingSink | None = None
        self.inner: AnswerHandle | None = None

    def cancel(self) -> None:
        """Stop the answer; its key is released only if nothing ran."""
        self.is_cancelled = True
        if self.inner is None or self.sink is None or self.sink.ended:
            return
        is_waiting = self.inner.driver is None
        self.inner.cancel()
        run = RunState.NOT_RUN if is_waiting else RunState.UNKNOWN
        self.sink.abandon(run)

    def pause(self) -> None:
        """Stop producing tokens until :meth:`resume`, for backpressure."""
        self.is_paused = True
        if self.inner is not None:
            self.inner.pause()

    def resume(self) -> None:
        """Continue to produce tokens."""
        self.is_paused = False
        if self.inner is not None:
            self.inner.resume()


class ClaimedAnswers:
    """Run an answer once its claim is the first on its key in the log."""

    def __init__(
        self,
        board: Blackboard,
        claims: ClaimLoop,
        answers: Answers,
        on_broken: Callable[[InvariantViolation], None],
    ) -> None:
        """Start with no claim; ``on_broken`` takes violations of invariants."""
        self._board = board
        self._claims = claims
        self._answers = answers
        self._on_broken = on_broken
        self._waiting: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Return the number of answers whose claim is undecided."""
        return len(self._waiting)

    def run(
        self,
        req: GenerateRequest,
        authorized: AuthorizedAnswer,
        sink: AnswerSink,
    ) -> ClaimedAnswerHandle:
        """Claim the key of a request and run it at most once."""
        handle = ClaimedAnswerHandle()
        task = asyncio.ensure_future(self._run(req, authorized, sink, handle))
        self._waiting.add(task)
        task.add_done_callback(self._task_done)
        return handle

    def _task_done(self, task: 'asyncio.Task[None]') -> None:
        self._waiting.discard(task)
        failure = None if task.cancelled() else task.exception()
        if isinstance(failure, InvariantViolation):
            self._on_broken(failure)

    async def _run(
        self,
        req: GenerateRequest,
        authorized: AuthorizedAnswer,
        sink: AnswerSink,
        handle: ClaimedAnswerHandle,
    ) -> None:
        if req.key is None:
            sink.failed(KEY_REQUIRED)
            return
        decision = await self._claims.decide(self._claim(req, req.key))
        if isinstance(decision, MayRun):
            self._admit(req, authorized, sink, handle)
        elif handle.is_cancelled:
            return
        elif isinstance(decision, Refuse):
            sink.failed(decision.refusal)
        else:
            _replay(decision.outcome, req, sink)

    def _claim(self, req: GenerateRequest, key: str) -> ClaimRequest:
        return ClaimRequest(
            req.request_id,
            KeyOwner(req.caller.account, key),
            _request_digest(req),
            self._board.wall_time() + CLAIM_WAIT_S,
            req.first_try,
        )

    def _admit(
        self,
        req: GenerateRequest,
        authorized: AuthorizedAnswer,
        sink: AnswerSink,
        handle: ClaimedAnswerHandle,
    ) -> None:
        manager = self._claims.manager
        if handle.is_cancelled:
            manager.release(req.request_id)
            return
        wall = self._board.wall_time()
        send_permit = manager.authorize_send(wall, req.request_id)
        if not isinstance(send_permit, Success):
            sink.failed(send_permit.failure())
            return
        handle.sink = RecordingSink(req, sink, manager)
        handle.inner = self._answers.admit(req, authorized, handle.sink)
        if handle.is_paused:
            handle.inner.pause()


def _request_digest(req: GenerateRequest) -> bytes:
    # The tokens received so far are left out, so that a retry that resumes
    # the answer counts as the same request.
    identity = (req.model, req.prompt, req.max_tokens)
    return hashlib.sha256(repr(identity).encode()).digest()


def _replay(outcome: Outcome, req: GenerateRequest, sink: AnswerSink) -> None:
    try:
        stored = _STORED_ANSWER.validate_json(outcome.body)
    except ValidationError:
        sink.failed(ANSWER_NOT_KEPT)
        return
    for index, token in enumerate(stored.tokens):
        if index >= len(req.received):
            sink.token(index, token)
    sink.finished(stored.reason)
