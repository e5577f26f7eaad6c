"""Build endpoints from the platform's instance list and configuration."""

from dataclasses import replace

from foxtailhatch.core import Endpoint, EndpointKind
from foxtailhatch.outside import LiveInstance


def endpoint_from_instance(instance: LiveInstance) -> Endpoint:
    """Return the endpoint for an item of the platform's instance list."""
    return Endpoint(
        name=instance.name,
        address=instance.address,
        kind=EndpointKind(instance.role),
        availability_zone=instance.availability_zone,
        accelerator=instance.accelerator,
        labels=instance.labels or {},
    )


def merge_endpoint(listed: Endpoint, configured: Endpoint) -> Endpoint:
    """Return the listed endpoint with configured attributes added.

    The address comes from the platform's list.  Configured labels override
    listed ones, and the configured accelerator is used if none is listed.
    """
    return replace(
        listed,
        accelerator=listed.accelerator or configured.accelerator,
        labels={**listed.labels, **configured.labels},
        checks_fencing=configured.checks_fencing,
    )
