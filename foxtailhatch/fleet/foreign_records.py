"""Whether a well-formed record was written by the endpoint that it names.

Other writers may put records under the name of an endpoint.  Such a record names no
endpoint to use, and changes nothing that is known of one.
"""

from collections.abc import Container

from foxtailhatch.fleet.endpoint import LiveEndpoint


def foreign_reason(
    record: LiveEndpoint,
    known: LiveEndpoint | None,
    services: Container[str],
) -> str | None:
    """Return why a record is not the endpoint's own, or ``None`` if it may be.

    ``known`` is what is known under its name, and ``services`` are those that are
    configured.  A service that is not configured yet may be soon, but an endpoint
    of a configured one does not move there; nor does it move without a restart, or
    begin to leave its incarnations unnumbered.
    """
    if known is None or known.service not in services:
        return None
    if record.service not in services:
        return f'service: {record.service!r} is not configured'
    is_restarted = record.incarnation > known.incarnation
    if record.service != known.service and not is_restarted:
        return f'service: was {known.service!r} without a restart since'
    if known.incarnation and not record.incarnation:
        return 'incarnation: missing'
    return None
