"""Chains of endpoints that hand activations to one another."""

from foxtailhatch.chains.chain_search import (
    ChainPath,
    LayerHolder,
    Stage,
    StageCost,
    cheapest_chain,
)
from foxtailhatch.chains.costs import ChainCosts

__all__ = [
    'ChainCosts',
    'LayerHolder',
    'Stage',
    'StageCost',
    'ChainPath',
    'cheapest_chain',
]
