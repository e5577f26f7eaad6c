"""State of the endpoints that this entry relays requests to."""

from foxtailhatch.fleet.availability import Availability, count_availability
from foxtailhatch.fleet.endpoint import EndpointState, LiveEndpoint
from foxtailhatch.fleet.estimate import PeerWork, WorkEstimate
from foxtailhatch.fleet.loads import EndpointLoads, Work
from foxtailhatch.fleet.rate_limits import RateGate, RateLimits
from foxtailhatch.fleet.reach import EndpointReach
from foxtailhatch.fleet.table import EndpointTable

__all__ = [
    'Availability',
    'LiveEndpoint',
    'EndpointLoads',
    'EndpointReach',
    'EndpointState',
    'EndpointTable',
    'PeerWork',
    'RateGate',
    'RateLimits',
    'Work',
    'WorkEstimate',
    'count_availability',
]
