"""Selection of chains for answers from the endpoints of the pool."""

from collections.abc import Iterable, Mapping

from returns.result import Result

from foxtailhatch.config import Access
from foxtailhatch.core import Chain, Refusal
from foxtailhatch.durable.desired_state import DesiredState, may_serve
from foxtailhatch.pipeline import ChainRequest
from foxtailhatch.routing import ChainChooser, ChainQuery, EndpointView, Pool


class PoolChainSource:
    """Select the chains of one answer among the endpoints it may use."""

    def __init__(
        self,
        chooser: ChainChooser,
        pool: Pool,
        granted: Access,
        desired_states: Mapping[str, DesiredState],
    ) -> None:
        """Select only endpoints whose labels ``granted`` allows."""
        self._desired_states = desired_states
        self._chooser = chooser
        self._pool = pool
        self._granted = granted

    def find_chain(
        self, req: ChainRequest, now: float
    ) -> Result[Chain, Refusal]:
        """Return a chain for one attempt, or why none is available now."""
        plan = req.plan
        query = ChainQuery(
            model=plan.model,
            version=plan.version,
            layer_count=plan.layer_count,
            prompt_blocks=plan.blocks,
            prompt_tokens=req.known_tokens,
            expected_tokens=max(1, plan.max_tokens - len(plan.received)),
            excluded=req.excluded | frozenset(self._excluded(self._pool)),
            kept_stages=req.kept_stages,
        )
        return self._chooser.choose(query, self._pool, now)

    def _excluded(self, views: Iterable[EndpointView]) -> Iterable[str]:
        is_unrestricted = not any(self._granted.endpoints)
        for view in views:
            name = view.endpoint.name
            if not is_unrestricted and not self._granted.allows_endpoint(
                view.endpoint.labels
            ):
                yield name
            elif name in self._desired_states and not self._may_serve(view):
                yield name

    def _may_serve(self, view: EndpointView) -> bool:
        # An endpoint gets no new work for holdings that it is to replace, so
        # that it drains before it loads the desired ones.
        desired = self._desired_states[view.endpoint.name]
        holdings = view.report.holdings if view.report else ()
        return any(
            may_serve(desired, each.model, each.version, each.layers)
            for each in holdings
        )
