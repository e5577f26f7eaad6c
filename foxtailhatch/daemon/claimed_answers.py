"""Answers of models that run at most once."""

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
from foxtailhatch.daemon.grants import GrantedAnswer
from foxtailhatch.durable import (
    ClaimManager,
    ClaimRequest,
    KeyOwner,
    MayRun,
    Outcome,
    Refuse,
)

KEPT_STATUS = 200
KEPT_TYPE = 'application/json'


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A whole answer as the log keeps it for a second try."""

    tokens: tuple[int, ...]
    reason: FinishReason


_KEPT: TypeAdapter[KeptAnswer] = TypeAdapter(KeptAnswer)


class KeepingSink:
    """Pass an answer on, and tell the claims what came of it."""

    def __init__(
        self,
        req: GenerateRequest,
        sink: AnswerSink,
        manager: ClaimManager,
    ) -> None:
        """Start with the tokens that the caller has already."""
        self.ended = False
        self._id = req.request_id
        self._sink = sink
        self._manager = manager
        self._tokens = list(req.received)

    def token(self, index: int, token: int) -> None:
        """Keep and pass on one token."""
        self._tokens.append(token)
        self._sink.token(index, token)

    def finished(self, reason: FinishReason) -> None:
        """Keep the whole answer for a second try."""
        self.ended = True
        body = _KEPT.dump_json(KeptAnswer(tuple(self._tokens), reason))
        outcome = Outcome(RunState.RAN, KEPT_STATUS, KEPT_TYPE, body)
        self._manager.record_outcome(self._id, outcome)
        self._sink.finished(reason)

    def failed(self, refusal: Refusal) -> None:
        """Free the key if nothing ran, else keep that it may have."""
        self._sink.failed(replace(refusal, run=self.give_up(refusal.run)))

    def give_up(self, run: RunState) -> RunState:
        """Tell the claims how the answer ended, and return what is known."""
        self.ended = True
        if run is RunState.NOT_RUN:
            self._manager.handle_not_executed(self._id)
            return self._manager.release(self._id).refusal.run
        self._manager.handle_lost_response(self._id)
        return run


class ClaimedHandle:
    """The front's handle on an answer that is claimed before it is admitted."""

    def __init__(self) -> None:
        """Start with nothing admitted."""
        self.is_cancelled = False
        self.is_paused = False
        self.sink: KeepingSink | None = None
        self.inner: AnswerHandle | None = None

    def cancel(self) -> None:
        """Stop the answer; what has run of it can't run again."""
        self.is_cancelled = True
        if self.inner is None or self.sink is None or self.sink.ended:
            return
        is_waiting = self.inner.driver is None
        self.inner.cancel()
        run = RunState.NOT_RUN if is_waiting else RunState.UNKNOWN
        self.sink.give_up(run)

    def pause(self) -> None:
        """Stop producing tokens: the caller reads too slowly."""
        self.is_paused = True
        if self.inner is not None:
            self.inner.pause()

    def resume(self) -> None:
        """Go on producing tokens."""
        self.is_paused = False
        if self.inner is not None:
            self.inner.resume()


class ClaimedAnswers:
    """Run an answer once its claim is first in the log's order."""

    def __init__(
        self,
        board: Blackboard,
        claims: ClaimLoop,
        answers: Answers,
        on_broken: Callable[[InvariantViolation], None],
    ) -> None:
        """Join the parts; no claim waits."""
        self._board = board
        self._claims = claims
        self._answers = answers
        self._on_broken = on_broken
        self._waiting: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Return the number of answers whose claim is not decided."""
        return len(self._waiting)

    def run(
        self,
        req: GenerateRequest,
        granted: GrantedAnswer,
        sink: AnswerSink,
    ) -> ClaimedHandle:
        """Claim the key of a request and run it at most once."""
        handle = ClaimedHandle()
        task = asyncio.ensure_future(self._run(req, granted, sink, handle))
        self._waiting.add(task)
        task.add_done_callback(self._done)
        return handle

    def _done(self, task: 'asyncio.Task[None]') -> None:
        self._waiting.discard(task)
        failure = None if task.cancelled() else task.exception()
        if isinstance(failure, InvariantViolation):
            self._on_broken(failure)

    async def _run(
        self,
        req: GenerateRequest,
        granted: GrantedAnswer,
        sink: AnswerSink,
        handle: ClaimedHandle,
    ) -> None:
        if req.key is None:
            sink.failed(KEY_REQUIRED)
            return
        decision = await self._claims.decide(self._claim(req, req.key))
        if isinstance(decision, MayRun):
            self._admit(req, granted, sink, handle)
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
            _digest(req),
            self._board.wall_time() + CLAIM_WAIT_S,
            req.first_try,
        )

    def _admit(
        self,
        req: GenerateRequest,
        granted: GrantedAnswer,
        sink: AnswerSink,
        handle: ClaimedHandle,
    ) -> None:
        manager = self._claims.manager
        if handle.is_cancelled:
            manager.release(req.request_id)
            return
        wall = self._board.wall_time()
        right = manager.authorise_send(wall, req.request_id)
        if not isinstance(right, Success):
            sink.failed(right.failure())
            return
        handle.sink = KeepingSink(req, sink, manager)
        handle.inner = self._answers.admit(req, granted, handle.sink)
        if handle.is_paused:
            handle.inner.pause()


def _digest(req: GenerateRequest) -> bytes:
    # What the caller received of the answer does not make it another request.
    asked = (req.model, req.prompt, req.max_tokens)
    return hashlib.sha256(repr(asked).encode()).digest()


def _replay(outcome: Outcome, req: GenerateRequest, sink: AnswerSink) -> None:
    try:
        kept = _KEPT.validate_json(outcome.body)
    except ValidationError:
        sink.failed(ANSWER_NOT_KEPT)
        return
    for index, token in enumerate(kept.tokens):
        if index >= len(req.received):
            sink.token(index, token)
    sink.finished(kept.reason)
