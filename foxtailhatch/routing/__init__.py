"""Which endpoints run an answer, from lagging knowledge of their load."""

from foxtailhatch.routing.blocks import prompt_blocks
from foxtailhatch.routing.chooser import ShortestPathChooser
from foxtailhatch.routing.costs import CostWeights
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.prefix_index import PrefixIndex
from foxtailhatch.routing.query import ChainChooser, ChainQuery
from foxtailhatch.routing.view import EndpointView

__all__ = [
    'ChainChooser',
    'ChainQuery',
    'EndpointView',
    'Holder',
    'Pool',
    'PrefixIndex',
    'ShortestPathChooser',
    'CostWeights',
    'prompt_blocks',
]
