"""Endpoints as the list and the configuration name them."""

from dataclasses import replace

from foxtailhatch.core import Endpoint, EndpointKind
from foxtailhatch.outside import LiveInstance


def endpoint_of(line: LiveInstance) -> Endpoint:
    """Return the endpoint that a line of the platform's list shows."""
    return Endpoint(
        name=line.name,
        address=line.address,
        kind=EndpointKind(line.role),
        availability_zone=line.availability_zone,
        accelerator=line.accelerator,
        labels=line.labels or {},
    )


def merge_endpoints(listed: Endpoint, configured: Endpoint) -> Endpoint:
    """Join both: the list knows the address, operators add labels."""
    return replace(
        listed,
        accelerator=listed.accelerator or configured.accelerator,
        labels={**listed.labels, **configured.labels},
        checks_fencing=configured.checks_fencing,
    )
