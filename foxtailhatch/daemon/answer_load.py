"""What one answer costs its endpoints, told to the pool as it goes."""

from foxtailhatch.core import Chain
from foxtailhatch.pipeline import Action, ChainStarted, StepAnswered
from foxtailhatch.routing import Pool


class AnswerLoad:
    """Keep the pool's count of own streams and queued prefill right."""

    def __init__(self, pool: Pool, prompt_tokens: int) -> None:
        """Start with no stage; ``prompt_tokens`` are queued on each."""
        self._pool = pool
        self._prompt_tokens = prompt_tokens
        self._unfilled: dict[str, int] = {}

    def handle_action(self, action: Action, now: float) -> None:
        """Take in a new chain or an answered step."""
        match action:
            case ChainStarted(chain, _):
                self.close(now)
                self._open(chain, now)
            case StepAnswered():
                self._answered(action, now)

    def close(self, now: float) -> None:
        """Take the answer's stages off the pool."""
        for endpoint, unfilled in self._unfilled.items():
            self._pool.note_stream_closed(endpoint, now, unfilled)
        self._unfilled.clear()

    def _open(self, chain: Chain, now: float) -> None:
        for stage in chain.stages:
            self._unfilled[stage.endpoint] = self._prompt_tokens
            self._pool.note_stream_opened(
                stage.endpoint, self._prompt_tokens, now
            )

    def _answered(self, step: StepAnswered, now: float) -> None:
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
        self._fill(step.endpoint, step.positions, now)

    def _fill(self, endpoint: str, positions: int, now: float) -> None:
        unfilled = self._unfilled.get(endpoint, 0)
        filled = min(unfilled, positions)
        if filled:
            self._unfilled[endpoint] = unfilled - filled
            self._pool.note_prefilled(endpoint, filled, now)
