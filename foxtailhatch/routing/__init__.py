"""Which endpoints run an answer, from lagging knowledge of their load."""

from foxtailhatch.routing.chooser import ShortestPathChooser
from foxtailhatch.routing.offers import Weights
from foxtailhatch.routing.pool import Holder, Pool
from foxtailhatch.routing.query import ChainChooser, ChainQuery
from foxtailhatch.routing.view import EndpointView

__all__ = [
    'ChainChooser',
    'ChainQuery',
    'EndpointView',
    'Holder',
    'Pool',
    'ShortestPathChooser',
    'Weights',
]
