"""Chains for answers: the chooser over the blackboard's pool."""

from collections.abc import Iterable, Mapping

from returns.result import Result

from foxtailhatch.config import Access
from foxtailhatch.core import Chain, Refusal
from foxtailhatch.durable.desired_state import DesiredState, may_serve
from foxtailhatch.pipeline import ChainRequest
from foxtailhatch.routing import ChainChooser, ChainQuery, EndpointView, Pool


class PoolChainSource:
    """Choose the chains of one answer among the endpoints it may use."""

    def __init__(
        self,
        chooser: ChainChooser,
        pool: Pool,
        granted: Access,
        wishes: Mapping[str, DesiredState],
    ) -> None:
        """Join the parts; ``granted`` names the endpoints' labels."""
        self._wishes = wishes
        self._chooser = chooser
        self._pool = pool
        self._granted = granted

    def find_chain(
        self, req: ChainRequest, now: float
    ) -> Result[Chain, Refusal]:
        """Return a chain for one attempt of the answer."""
        plan = req.plan
        query = ChainQuery(
            model=plan.model,
            version=plan.version,
            layer_count=plan.layer_count,
            prompt_blocks=plan.blocks,
            prompt_tokens=req.known_tokens,
            expected_tokens=max(1, plan.max_tokens - len(plan.received)),
            excluded=req.excluded | frozenset(self._barred(self._pool)),
            kept_stages=req.kept_stages,
        )
        return self._chooser.choose(query, self._pool, now)

    def _barred(self, views: Iterable[EndpointView]) -> Iterable[str]:
        is_open = not any(self._granted.endpoints)
        for view in views:
            name = view.endpoint.name
            if not is_open and not self._granted.allows_endpoint(
                view.endpoint.labels
            ):
                yield name
            elif name in self._wishes and not self._may_serve(view):
                yield name

    def _may_serve(self, view: EndpointView) -> bool:
        # An endpoint that shall hold something else runs idle first.
        req = self._wishes[view.endpoint.name]
        held = view.report.holdings if view.report else ()
        return any(
            may_serve(req, each.model, each.version, each.layers)
            for each in held
        )
