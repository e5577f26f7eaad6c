"""The routing configuration: routes, services and client accounts."""

from foxtailhatch.routes.configuration import (
    AcceleratorKind,
    Account,
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
    'AcceleratorKind',
    'ClientLimits',
    'Engine',
    'Route',
    'RouteKind',
    'RoutingConfiguration',
    'RoutingTable',
    'Service',
    'ServiceShare',
]
