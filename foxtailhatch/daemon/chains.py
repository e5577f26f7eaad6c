"""Chains for answers: the chooser over the blackboard's pool."""

from collections.abc import Iterable

from returns.result import Result

from foxtailhatch.config import Access
from foxtailhatch.core import Chain, Refusal
from foxtailhatch.pipeline import ChainWish
from foxtailhatch.routing import ChainChooser, ChainQuery, EndpointView, Pool


class PoolChains:
    """Choose the chains of one answer among the endpoints it may use."""

    def __init__(
        self,
        chooser: ChainChooser,
        pool: Pool,
        granted: Access,
    ) -> None:
        """Join the parts; ``granted`` names the endpoints' labels."""
        self._chooser = chooser
        self._pool = pool
        self._granted = granted

    def chain(self, wish: ChainWish, now: float) -> Result[Chain, Refusal]:
        """Return a chain for one attempt of the answer."""
        plan = wish.plan
        query = ChainQuery(
            model=plan.model,
            version=plan.version,
            layer_count=plan.layer_count,
            prompt_blocks=plan.blocks,
            prompt_tokens=wish.length,
            expected_tokens=max(1, plan.max_tokens - len(plan.received)),
            excluded=wish.excluded | frozenset(self._barred(self._pool)),
            keep=wish.keep,
        )
        return self._chooser.choose(query, self._pool, now)

    def _barred(self, views: Iterable[EndpointView]) -> Iterable[str]:
        if not any(self._granted.endpoints):
            return
        for view in views:
            if not self._granted.allows(view.endpoint.labels):
                yield view.endpoint.name
