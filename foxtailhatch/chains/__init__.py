"""Chains of endpoints that pass activations on from stage to stage."""

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
