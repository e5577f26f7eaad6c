"""Choose the endpoints that run a request from delayed load reports."""

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
    'CostWeights',
    'EndpointView',
    'Holder',
    'Pool',
    'PrefixIndex',
    'ShortestPathChooser',
    'prompt_blocks',
]
