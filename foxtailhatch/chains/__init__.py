"""Chains of endpoints that hand activations to one another."""

from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.chains.zone_paths import (
    Holder,
    Stage,
    StageCost,
    ZonePath,
    cheapest_chain,
)

__all__ = [
    'ChainCosts',
    'Holder',
    'Stage',
    'StageCost',
    'ZonePath',
    'cheapest_chain',
]
