"""The values that every other subpackage shares; no decision is made here."""

from foxtailhatch.core.hybrid_clock import HybridClock, Stamp
from foxtailhatch.core.identity import Caller
from foxtailhatch.core.invariants import (
    Invariant,
    InvariantBroken,
    checks_made,
    require,
)
from foxtailhatch.core.layers import LayerRange, tiles
from foxtailhatch.core.outcomes import ErrorCode, Refusal, RunState
from foxtailhatch.core.timeline import Event, EventKind, Timeline
from foxtailhatch.core.topology import (
    Address,
    Chain,
    ChainStage,
    Endpoint,
    EndpointKind,
    Holding,
    LoadReport,
    Mark,
)

__all__ = [
    'Address',
    'Caller',
    'Chain',
    'ChainStage',
    'Endpoint',
    'EndpointKind',
    'ErrorCode',
    'Event',
    'EventKind',
    'Holding',
    'HybridClock',
    'Invariant',
    'InvariantBroken',
    'LayerRange',
    'LoadReport',
    'Mark',
    'Refusal',
    'RunState',
    'Stamp',
    'Timeline',
    'checks_made',
    'require',
    'tiles',
]
