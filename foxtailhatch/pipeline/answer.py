"""The state machine of one answer, over all attempts.

It does no I/O: its methods take frames, session losses and the current time,
and return the actions to carry out.  A failed stage never drops, duplicates
or changes a token: the next attempt resumes after the last token delivered,
and the attempt number fences frames of earlier attempts.
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
    ChainRequest,
    ChainSource,
    StallPolicy,
)
from foxtailhatch.pipeline.retained_inputs import RETAINED_BYTES, RetainedInputs
from foxtailhatch.pipeline.stage import StageRun

RECOVERY_WINDOW_S = 20.0
CHAIN_RETRY_S = 0.05
LOSSES_BEFORE_EXCLUSION = 2
# A prompt may be what makes endpoints fail, so an answer without a token is not
# run again after this many were lost.
MAX_LOST_BEFORE_TOKEN = 3

PROMPT_SUSPECTED = Refusal(
    ErrorCode.ENDPOINT_FAILED,
    'Several endpoints failed before the first token of the answer.',
    RunState.UNKNOWN,
)

NOT_REPEATABLE = Refusal(
    ErrorCode.OUTCOME_UNKNOWN,
    'An endpoint failed after the request was started, and the request must '
    'not be run again.',
    RunState.UNKNOWN,
)

StageFrame = StageOpened | StageOutput | StageRefused


class AnswerRun:
    """Run one answer, starting a new attempt after each failed stage.

    An endpoint is excluded from later attempts once it stalls, refuses a
    frame for another reason than a stale attempt, sends invalid output, or
    loses its session ``LOSSES_BEFORE_EXCLUSION`` times.
    """

    def __init__(
        self,
        plan: AnswerPlan,
        chains: ChainSource,
        retained_bytes: int = RETAINED_BYTES,
    ) -> None:
        """Store the plan; :meth:`begin` selects the first chain.

        ``retained_bytes`` limits the activations kept for recovery.
        """
        self.plan = plan
        self.done = False
        self.attempt: Attempt | None = None
        self.attempt_number = 0
        self._chains = chains
        self._tokens = [*plan.prompt, *plan.received]
        self._retained = RetainedInputs(retained_bytes)
        self._losses: Counter[str] = Counter()
        self._excluded: set[str] = set()
        self._lost_before_token: set[str] = set()
        self._step_sent = False
        self._output_received = False
        self._paused = False
        self._interrupted_since: float | None = None
        self._next_choice_at = float(0)

    def begin(self, now: float) -> list[Action]:
        """Select the first chain and open its stages."""
        if len(self.plan.received) >= self.plan.max_tokens:
            self.done = True
            return [AnswerFinished(FinishReason.LENGTH)]
        chain = self._choose_chain((), now)
        if not is_successful(chain):
            self.done = True
            return [AnswerFailed(self._with_run_state(chain.failure()))]
        return list(self._start_attempt(chain.unwrap(), now))

    def handle_frame(
        self,
        endpoint: str,
        frame: DownFrame,
        now: float,
    ) -> list[Action]:
        """Handle a frame from an endpoint.

        Frames of other streams or of earlier attempts are ignored.
        """
        attempt = self.attempt
        if self.done or attempt is None or not self._is_current(frame):
            return []
        if isinstance(frame, StageRefused):
            return list(self._handle_refusal(endpoint, frame, now))
        return self._handle_stage_frame(attempt, endpoint, frame, now)

    def handle_session_loss(self, endpoint: str, now: float) -> list[Action]:
        """Handle the loss of the session with an endpoint."""
        if self.done or not self._uses(endpoint):
            return []
        if self._has_step_at(endpoint) and len(self._tokens) == len(
            self.plan.prompt
        ):
            self._lost_before_token.add(endpoint)
        self._losses[endpoint] += 1
        if self._losses[endpoint] >= LOSSES_BEFORE_EXCLUSION:
            self._excluded.add(endpoint)
        return list(self._recover({endpoint}, now, now))

    def tick(self, now: float, stall_policy: StallPolicy) -> list[Action]:
        """Replace stages past their timeout, or retry the chain selection.

        An answer that must not run again waits for a stage until its session
        is lost, and for ``RECOVERY_WINDOW_S`` at most.
        """
        if self.done:
            return []
        if self.attempt is None:
            return list(self._retry_choice(now))
        if self._may_run_again:
            overdue = [
                stage
                for stage in self.attempt.stages
                if _is_overdue(stage, now, stall_policy)
            ]
        else:
            overdue = [
                stage
                for stage in self.attempt.stages
                if _waits_longer(stage, RECOVERY_WINDOW_S, now)
            ]
        if not overdue:
            return []
        names = {stage.endpoint for stage in overdue}
        self._excluded |= names
        since = min(stage.waiting_since for stage in overdue)
        return list(self._recover(names, since, now))

    def cancel(self) -> list[Action]:
        """End the answer on behalf of the caller and close its stages."""
        if self.done:
            return []
        self.done = True
        return list(self.attempt.cancel()) if self.attempt else []

    def prefill_in_flight(self) -> Iterator[tuple[str, int]]:
        """Yield each endpoint with prefill in flight and its positions."""
        if self.done or self.attempt is None:
            return
        for stage in self.attempt.stages:
            positions = sum(step.count - 1 for step in stage.steps)
            if positions:
                yield stage.endpoint, positions

    def pause(self) -> None:
        """Request no further tokens until :meth:`resume`."""
        self._paused = True

    def resume(self, now: float) -> list[Action]:
        """Continue to request tokens."""
        self._paused = False
        if self.done or self.attempt is None:
            return []
        return self._track_steps(
            self.attempt.send_pending_tokens(self._tokens, now)
        )

    @property
    def _may_run_again(self) -> bool:
        return self.plan.repeatable or not self._step_sent

    def _is_current(self, frame: DownFrame) -> TypeGuard[StageFrame]:
        if isinstance(frame, Pong) or frame.stream != self.plan.stream:
            return False
        return frame.attempt == self.attempt_number

    def _handle_stage_frame(
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
            return self._track_steps(
                attempt.handle_opened(index, frame, self._tokens, now)
            )
        if not attempt.is_valid_output(index, frame):
            # Replaces the stage instead of violating an invariant, since a
            # faulty engine must not stop this process.
            self._excluded.add(endpoint)
            return list(self._recover({endpoint}, now, now))
        self._output_received = True
        return list(self._handle_output(attempt, index, frame, now))

    def _uses(self, endpoint: str) -> bool:
        if self.attempt is None:
            return False
        return any(stage.endpoint == endpoint for stage in self.attempt.stages)

    def _has_step_at(self, endpoint: str) -> bool:
        """Return whether the endpoint has a step of the running attempt."""
        if self.attempt is None:
            return False
        return any(
            stage.steps
            for stage in self.attempt.stages
            if stage.endpoint == endpoint
        )

    def _track_steps(self, actions: Iterator[Action]) -> list[Action]:
        tracked = list(actions)
        self._step_sent = self._step_sent or any(
            isinstance(action, SendFrame)
            and isinstance(action.frame, StepStage)
            for action in tracked
        )
        return tracked

    def _start_attempt(self, chain: Chain, now: float) -> Iterator[Action]:
        self.attempt_number += 1
        self.attempt = Attempt(
            self.plan, chain, self.attempt_number, self._retained, now
        )
        yield ChainStarted(chain, self.attempt_number)
        yield from self.attempt.open()

    def _handle_output(
        self,
        attempt: Attempt,
        index: int,
        frame: StageOutput,
        now: float,
    ) -> Iterator[Action]:
        for action in attempt.handle_output(index, frame, now):
            if isinstance(action, StageOutput):
                yield from self._handle_token(attempt, action, now)
            else:
                yield action

    def _handle_token(
        self,
        attempt: Attempt,
        output: StageOutput,
        now: float,
    ) -> Iterator[Action]:
        # The last stage returns a token for each prefill chunk; only the one
        # that follows the whole known sequence is new.
        if output.position + 1 != len(self._tokens) or output.token is None:
            return
        if self._interrupted_since is not None:
            yield AnswerRecovered(now - self._interrupted_since)
            self._interrupted_since = None
        if output.end:
            yield from self._finish(attempt, FinishReason.STOP)
            return
        index = len(self._tokens) - len(self.plan.prompt)
        self._tokens.append(output.token)
        yield DeliverToken(index, output.token)
        if index + 1 >= self.plan.max_tokens:
            yield from self._finish(attempt, FinishReason.LENGTH)
        elif not self._paused:
            yield from attempt.send_pending_tokens(self._tokens, now)

    def _finish(
        self,
        attempt: Attempt,
        reason: FinishReason,
    ) -> Iterator[Action]:
        self.done = True
        yield AnswerFinished(reason)
        yield from attempt.cancel()

    def _handle_refusal(
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
        failed: set[str],
        since: float,
        now: float,
    ) -> Iterator[Action]:
        attempt = self.attempt
        if attempt is None:
            return
        if not self._may_run_again:
            yield from attempt.cancel()
            yield from self._fail(NOT_REPEATABLE)
            return
        if len(self._lost_before_token) >= MAX_LOST_BEFORE_TOKEN:
            yield from attempt.cancel()
            yield from self._fail(PROMPT_SUSPECTED)
            return
        if self._interrupted_since is None:
            self._interrupted_since = since
        chain = self._choose_chain(self._reusable_stages(attempt, failed), now)
        if not is_successful(chain):
            yield from self._wait_for_chain(attempt, chain.failure(), now)
            return
        yield from self._start_attempt(chain.unwrap(), now)
        # Cancelling a stage that the new chain reuses would drop its KV cache.
        used = {stage.endpoint for stage in chain.unwrap().stages}
        yield from attempt.cancel(used)

    def _wait_for_chain(
        self,
        attempt: Attempt,
        refusal: Refusal,
        now: float,
    ) -> Iterator[Action]:
        # Fails at once if nothing has run, so that the caller can try another
        # entry; an answer in progress waits for capacity instead.
        yield from attempt.cancel()
        if not self._step_sent:
            yield from self._fail(refusal)
            return
        self.attempt = None
        self._next_choice_at = now + CHAIN_RETRY_S

    def _retry_choice(self, now: float) -> Iterator[Action]:
        if now < self._next_choice_at:
            return
        self._next_choice_at = now + CHAIN_RETRY_S
        chain = self._choose_chain((), now)
        if is_successful(chain):
            yield from self._start_attempt(chain.unwrap(), now)
            return
        # An excluded endpoint may be the only one that can serve the layers.
        self._excluded.clear()
        since = (
            now if self._interrupted_since is None else self._interrupted_since
        )
        if now - since > RECOVERY_WINDOW_S:
            yield from self._fail(chain.failure())

    def _fail(self, refusal: Refusal) -> Iterator[Action]:
        self.done = True
        yield AnswerFailed(self._with_run_state(refusal))

    def _choose_chain(
        self,
        kept_stages: tuple[ChainStage, ...],
        now: float,
    ) -> Result[Chain, Refusal]:
        req = ChainRequest(
            self.plan,
            self.attempt_number + 1,
            len(self._tokens),
            frozenset(self._excluded),
            kept_stages,
        )
        return self._chains.find_chain(req, now)

    def _reusable_stages(
        self,
        attempt: Attempt,
        failed: set[str],
    ) -> tuple[ChainStage, ...]:
        return tuple(
            stage
            for stage in attempt.chain.stages
            if stage.endpoint not in failed | self._excluded
        )

    def _with_run_state(self, refusal: Refusal) -> Refusal:
        run = refusal.run
        if self._step_sent:
            run = RunState.RAN if self._output_received else RunState.UNKNOWN
        check_invariant(
            Invariant.NOT_RUN_IS_ACCURATE,
            run is not RunState.NOT_RUN or not self._step_sent,
            f'refused as not run after a step was sent: {refusal.message}',
        )
        return Refusal(
            refusal.code,
            refusal.message,
            run,
            refusal.retry_after_s,
            refusal.address,
        )


def _is_overdue(stage: StageRun, now: float, stall_policy: StallPolicy) -> bool:
    timeout_s = stall_policy.timeout_s(
        stage.endpoint, stage.pending_positions()
    )
    if not _waits_longer(stage, timeout_s, now):
        return False
    return stall_policy.may_replace(stage.endpoint)


def _waits_longer(stage: StageRun, wait_s: float, now: float) -> bool:
    """Return whether a stage owes a frame for longer than ``wait_s``."""
    return stage.is_awaiting_frame() and now - stage.waiting_since > wait_s
