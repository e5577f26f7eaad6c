"""An answer from its first attempt to its last token.

The state machine does no I/O: it is told of frames, losses and the time, and
returns what is to be done.  A loss never loses, doubles or changes a token:
the next attempt goes on after the last token delivered, and frames of earlier
attempts are dropped by their number.
"""

from collections import Counter
from collections.abc import Iterator
from typing import TypeGuard

from returns.pipeline import is_successful
from returns.result import Result

from foxtailhatch.callers.gateway import FinishReason
from foxtailhatch.core import (
    Chain,
    ChainStage,
    ErrorCode,
    Invariant,
    Refusal,
    RunState,
    check_invariant,
)
from foxtailhatch.outside.frames import (
    DownFrame,
    Pong,
    StageFault,
    StageOpened,
    StageOutput,
    StageRefused,
    StepStage,
)
from foxtailhatch.pipeline.actions import (
    Action,
    AnswerFailed,
    AnswerFinished,
    AnswerRecovered,
    ChainStarted,
    DeliverToken,
    SendFrame,
    StageDenied,
)
from foxtailhatch.pipeline.attempt import Attempt
from foxtailhatch.pipeline.plan import (
    AnswerPlan,
    ChainSource,
    ChainWish,
    Patience,
)
from foxtailhatch.pipeline.retained import RETAINED_BYTES, RetainedInputs
from foxtailhatch.pipeline.stage import StageRun

RECOVERY_WINDOW_S = 20.0
CHAIN_RETRY_S = 0.05
LOSSES_BEFORE_EXCLUSION = 2

NOT_REPEATED = Refusal(
    ErrorCode.OUTCOME_UNKNOWN,
    'An endpoint failed and the request may not be run again.',
    RunState.UNKNOWN,
)

AnswerFrame = StageOpened | StageOutput | StageRefused


class AnswerRun:
    """Run one answer to its end over as many attempts as it takes."""

    def __init__(
        self,
        plan: AnswerPlan,
        chains: ChainSource,
        retained_bytes: int = RETAINED_BYTES,
    ) -> None:
        """Prepare the answer; nothing is chosen or sent yet."""
        self.plan = plan
        self.done = False
        self.attempt: Attempt | None = None
        self.attempt_number = 0
        self._chains = chains
        self._tokens = [*plan.prompt, *plan.received]
        self._retained = RetainedInputs(retained_bytes)
        self._losses: Counter[str] = Counter()
        self._excluded: set[str] = set()
        self._stepped = False
        self._answered = False
        self._paused = False
        self._broken_since: float | None = None
        self._next_try = float(0)

    def begin(self, now: float) -> list[Action]:
        """Choose the first chain and open its stages."""
        if len(self.plan.received) >= self.plan.max_tokens:
            self.done = True
            return [AnswerFinished(FinishReason.LENGTH)]
        chain = self._choose((), now)
        if not is_successful(chain):
            self.done = True
            return [AnswerFailed(self._refusal(chain.failure()))]
        return list(self._start(chain.unwrap(), now))

    def frame(
        self,
        endpoint: str,
        frame: DownFrame,
        now: float,
    ) -> list[Action]:
        """Take a frame from an endpoint; late and foreign ones do nothing."""
        attempt = self.attempt
        if self.done or attempt is None or not self._current(frame):
            return []
        if isinstance(frame, StageRefused):
            return list(self._refused(endpoint, frame, now))
        return self._stage_frame(attempt, endpoint, frame, now)

    def lost(self, endpoint: str, now: float) -> list[Action]:
        """Learn that the session with an endpoint is gone."""
        if self.done or not self._uses(endpoint):
            return []
        self._losses[endpoint] += 1
        if self._losses[endpoint] >= LOSSES_BEFORE_EXCLUSION:
            self._excluded.add(endpoint)
        return list(self._recover({endpoint}, now, now))

    def tick(self, now: float, patience: Patience) -> list[Action]:
        """Give up stages that owe a frame for too long; retry a choice."""
        if self.done:
            return []
        if self.attempt is None:
            return list(self._retry(now))
        overdue = [
            stage
            for stage in self.attempt.stages
            if _is_overdue(stage, now, patience)
        ]
        if not overdue:
            return []
        names = {stage.endpoint for stage in overdue}
        self._excluded |= names
        since = min(stage.waiting_since for stage in overdue)
        return list(self._recover(names, since, now))

    def cancel(self) -> list[Action]:
        """End the answer because nobody waits for it any more."""
        if self.done:
            return []
        self.done = True
        return list(self.attempt.cancel()) if self.attempt else []

    def prefill_in_flight(self) -> Iterator[tuple[str, int]]:
        """Yield the endpoints that owe prefill, and how many positions."""
        if self.done or self.attempt is None:
            return
        for stage in self.attempt.stages:
            positions = sum(step.count - 1 for step in stage.steps)
            if positions:
                yield stage.endpoint, positions

    def pause(self) -> None:
        """Ask for no further token until :meth:`resume`."""
        self._paused = True

    def resume(self, now: float) -> list[Action]:
        """Go on asking for tokens."""
        self._paused = False
        if self.done or self.attempt is None:
            return []
        return self._noted(self.attempt.pump(self._tokens, now))

    def _current(self, frame: DownFrame) -> TypeGuard[AnswerFrame]:
        if isinstance(frame, Pong) or frame.stream != self.plan.stream:
            return False
        return frame.attempt == self.attempt_number

    def _stage_frame(
        self,
        attempt: Attempt,
        endpoint: str,
        frame: StageOpened | StageOutput,
        now: float,
    ) -> list[Action]:
        index = attempt.stage_at(endpoint, frame.layers)
        if index is None:
            return []
        if isinstance(frame, StageOpened):
            return self._noted(attempt.opened(index, frame, self._tokens, now))
        if not attempt.fits(index, frame):
            # What a faulty engine says must not stop this process.
            self._excluded.add(endpoint)
            return list(self._recover({endpoint}, now, now))
        self._answered = True
        return list(self._advance(attempt, index, frame, now))

    def _uses(self, endpoint: str) -> bool:
        if self.attempt is None:
            return False
        return any(stage.endpoint == endpoint for stage in self.attempt.stages)

    def _noted(self, actions: Iterator[Action]) -> list[Action]:
        noted = list(actions)
        self._stepped = self._stepped or any(
            isinstance(action, SendFrame)
            and isinstance(action.frame, StepStage)
            for action in noted
        )
        return noted

    def _start(self, chain: Chain, now: float) -> Iterator[Action]:
        self.attempt_number += 1
        self.attempt = Attempt(
            self.plan, chain, self.attempt_number, self._retained, now
        )
        yield ChainStarted(chain, self.attempt_number)
        yield from self.attempt.open()

    def _advance(
        self,
        attempt: Attempt,
        index: int,
        frame: StageOutput,
        now: float,
    ) -> Iterator[Action]:
        for action in attempt.output(index, frame, now):
            if isinstance(action, StageOutput):
                yield from self._token(attempt, action, now)
            else:
                yield action

    def _token(
        self,
        attempt: Attempt,
        output: StageOutput,
        now: float,
    ) -> Iterator[Action]:
        # The last stage answers each prefill chunk; only the token after the
        # whole known sequence is new.
        if output.position + 1 != len(self._tokens) or output.token is None:
            return
        if self._broken_since is not None:
            yield AnswerRecovered(now - self._broken_since)
            self._broken_since = None
        if output.end:
            yield from self._finish(attempt, FinishReason.STOP)
            return
        index = len(self._tokens) - len(self.plan.prompt)
        self._tokens.append(output.token)
        yield DeliverToken(index, output.token)
        if index + 1 >= self.plan.max_tokens:
            yield from self._finish(attempt, FinishReason.LENGTH)
        elif not self._paused:
            yield from attempt.pump(self._tokens, now)

    def _finish(
        self,
        attempt: Attempt,
        reason: FinishReason,
    ) -> Iterator[Action]:
        self.done = True
        yield AnswerFinished(reason)
        yield from attempt.cancel()

    def _refused(
        self,
        endpoint: str,
        frame: StageRefused,
        now: float,
    ) -> Iterator[Action]:
        if not self._uses(endpoint):
            return
        yield StageDenied(endpoint, frame.fault)
        if frame.fault is not StageFault.STALE_ATTEMPT:
            self._excluded.add(endpoint)
        yield from self._recover({endpoint}, now, now)

    def _recover(
        self,
        broken: set[str],
        since: float,
        now: float,
    ) -> Iterator[Action]:
        attempt = self.attempt
        if attempt is None:
            return
        if self._stepped and not self.plan.repeatable:
            yield from attempt.cancel()
            yield from self._fail(NOT_REPEATED)
            return
        if self._broken_since is None:
            self._broken_since = since
        chain = self._choose(self._kept(attempt, broken), now)
        if not is_successful(chain):
            yield from self._wait(attempt, chain.failure(), now)
            return
        yield from self._start(chain.unwrap(), now)
        # A stage that goes on keeps its KV cache, so it is not cancelled.
        used = {stage.endpoint for stage in chain.unwrap().stages}
        yield from attempt.cancel(used)

    def _wait(
        self,
        attempt: Attempt,
        refusal: Refusal,
        now: float,
    ) -> Iterator[Action]:
        # With nothing run yet the caller learns at once that it may go
        # elsewhere; an answer in progress waits for capacity instead.
        yield from attempt.cancel()
        if not self._stepped:
            yield from self._fail(refusal)
            return
        self.attempt = None
        self._next_try = now + CHAIN_RETRY_S

    def _retry(self, now: float) -> Iterator[Action]:
        if now < self._next_try:
            return
        self._next_try = now + CHAIN_RETRY_S
        chain = self._choose((), now)
        if is_successful(chain):
            yield from self._start(chain.unwrap(), now)
            return
        # An endpoint given up earlier may be the only one left.
        self._excluded.clear()
        since = now if self._broken_since is None else self._broken_since
        if now - since > RECOVERY_WINDOW_S:
            yield from self._fail(chain.failure())

    def _fail(self, refusal: Refusal) -> Iterator[Action]:
        self.done = True
        yield AnswerFailed(self._refusal(refusal))

    def _choose(
        self,
        keep: tuple[ChainStage, ...],
        now: float,
    ) -> Result[Chain, Refusal]:
        wish = ChainWish(
            self.plan,
            self.attempt_number + 1,
            len(self._tokens),
            frozenset(self._excluded),
            keep,
        )
        return self._chains.chain(wish, now)

    def _kept(
        self,
        attempt: Attempt,
        broken: set[str],
    ) -> tuple[ChainStage, ...]:
        return tuple(
            stage
            for stage in attempt.chain.stages
            if stage.endpoint not in broken | self._excluded
        )

    def _refusal(self, refusal: Refusal) -> Refusal:
        run = refusal.run
        if self._stepped:
            run = RunState.RAN if self._answered else RunState.UNKNOWN
        check_invariant(
            Invariant.NOT_RUN_IS_ACCURATE,
            run is not RunState.NOT_RUN or not self._stepped,
            f'steps had left before: {refusal.message}',
        )
        return Refusal(
            refusal.code,
            refusal.message,
            run,
            refusal.retry_after_s,
            refusal.address,
        )


def _is_overdue(stage: StageRun, now: float, patience: Patience) -> bool:
    if not stage.waiting():
        return False
    limit_s = patience.limit_s(stage.endpoint, stage.owed_positions())
    if now - stage.waiting_since <= limit_s:
        return False
    return patience.may_give_up(stage.endpoint)
