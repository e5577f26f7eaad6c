"""The context in which the router relays requests."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.relay.body_memory import BodyMemory
from foxtailhatch.relay.context import PromptWatch, RelayContext
from foxtailhatch.relay.request import WireCodec
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.demand_recorder import DemandRecorder
from foxtailhatch.router.forwarding import ForwardingSelector
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.zone_balancer import ZoneBalancer

# Share of the memory of the process for bodies.  The rest is for the program, its
# state and the buffers of connections.
BODY_MEMORY_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class RelayObservers:
    """Who is told of what happens to requests.

    ``on_suspect`` gets an endpoint that may be dead, and the reason.
    """

    log: StructuredLog
    metrics: RouterMetrics
    prompts: PromptWatch
    on_suspect: Callable[[LiveEndpoint, str], None]


def build_relay_context(
    board: Blackboard,
    codec: WireCodec,
    reactor: Any,
    random: Random,
    observers: RelayObservers,
) -> RelayContext:
    """Return the context of all requests of this entry."""
    bounds = board.cfg.bounds
    balancer = ZoneBalancer(board, random, observers.log, observers.metrics)
    return RelayContext(
        reactor=reactor,
        clock=board.clock,
        codec=codec,
        endpoints=board.endpoints,
        loads=board.loads,
        rate_limits=board.rate_limits,
        budget=RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            board.clock(),
        ),
        selector=ForwardingSelector(board, random, balancer),
        log=observers.log,
        metrics=observers.metrics,
        prompts=observers.prompts,
        entries=lambda: len(board.entries.ready(board.clock())),
        on_suspect=observers.on_suspect,
        on_chain=balancer.record_chain,
        bodies=BodyMemory(int(BODY_MEMORY_SHARE * board.cfg.memory_bytes)),
        demand=DemandRecorder(board),
    )
