"""What operators say of routes, services and client accounts."""

from foxtailhatch.routes.configuration import (
    Account,
    CardKind,
    ClientLimits,
    Engine,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    ServiceShare,
)
from foxtailhatch.routes.table import RoutingTable

__all__ = [
    'Account',
    'CardKind',
    'ClientLimits',
    'Engine',
    'Route',
    'RouteKind',
    'RoutingConfiguration',
    'RoutingTable',
    'Service',
    'ServiceShare',
]
