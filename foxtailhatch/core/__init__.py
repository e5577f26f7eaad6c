"""Value types and invariant checks shared by all other subpackages."""

from foxtailhatch.core.errors import ErrorCode, Refusal, RunState
from foxtailhatch.core.hybrid_clock import HybridClock, HybridTimestamp
from foxtailhatch.core.identity import Caller
from foxtailhatch.core.invariants import (
    Invariant,
    InvariantViolation,
    check_counts,
    check_invariant,
)
from foxtailhatch.core.layers import LayerRange, is_partition
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
    'HybridTimestamp',
    'Invariant',
    'InvariantViolation',
    'LayerRange',
    'LoadReport',
    'Mark',
    'Refusal',
    'RunState',
    'Timeline',
    'check_counts',
    'check_invariant',
    'is_partition',
]
