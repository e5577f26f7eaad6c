"""Factory of endpoints for tests."""

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState, LiveEndpoint


def endpoint(
    name='e1',
    service='plain',
    zone='z1',
    layers=None,
    accelerator_kind='',
    state=EndpointState.READY,
    incarnation=1,
    slots=6,
    address='',
    heartbeats=0,
):
    return LiveEndpoint(
        name=name,
        service=service,
        address=address or f'10.0.0.1:{8000 + sum(map(ord, name))}',
        zone=zone,
        slots=slots,
        state=state,
        layers=None if layers is None else LayerRange(*layers),
        accelerator_kind=accelerator_kind,
        incarnation=incarnation,
        heartbeats=heartbeats,
    )
