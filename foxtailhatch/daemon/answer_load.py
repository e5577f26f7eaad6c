"""Accounting of one answer's load on its endpoints, for chain selection."""

from foxtailhatch.core import Chain
from foxtailhatch.pipeline import Action, ChainStarted, StepCompleted
from foxtailhatch.routing import Pool


class AnswerLoad:
    """Update the pool's count of this entry's streams and queued prefill."""

    def __init__(self, pool: Pool, prompt_tokens: int) -> None:
        """Start with no stage; each one adds ``prompt_tokens`` of prefill."""
        self._pool = pool
        self._prompt_tokens = prompt_tokens
        self._pending_prefill: dict[str, int] = {}

    def handle_action(self, action: Action, now: float) -> None:
        """Account for a new chain or a completed step."""
        match action:
            case ChainStarted(chain, _):
                self.close(now)
                self._open(chain, now)
            case StepCompleted():
                self._step_completed(action, now)

    def close(self, now: float) -> None:
        """Remove the load of the answer's stages from the pool."""
        for endpoint, pending in self._pending_prefill.items():
            self._pool.record_stream_closed(endpoint, now, pending)
        self._pending_prefill.clear()

    def _open(self, chain: Chain, now: float) -> None:
        for stage in chain.stages:
            self._pending_prefill[stage.endpoint] = self._prompt_tokens
            self._pool.record_stream_opened(
                stage.endpoint, self._prompt_tokens, now
            )

    def _step_completed(self, step: StepCompleted, now: float) -> None:
        if step.positions == 1:
            self._pool.observe_step(
                step.endpoint,
                step.layers,
                step.seconds,
                now,
            )
        else:
            self._pool.observe_prefill(
                step.endpoint,
                step.layers,
                step.positions,
                step.seconds,
            )
        self._reduce_prefill(step.endpoint, step.positions, now)

    def _reduce_prefill(
        self, endpoint: str, positions: int, now: float
    ) -> None:
        pending = self._pending_prefill.get(endpoint, 0)
        completed = min(pending, positions)
        if completed:
            self._pending_prefill[endpoint] = pending - completed
            self._pool.record_prefilled(endpoint, completed, now)
