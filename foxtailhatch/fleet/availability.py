"""Whether an endpoint may get work from this entry, and else the reason.

An endpoint to which several reasons apply has the first of them in the order of
``Availability``.
"""

from collections import Counter
from enum import StrEnum

from foxtailhatch.fleet.endpoint import LiveEndpoint
from foxtailhatch.fleet.table import EndpointTable


class Availability(StrEnum):
    """The reasons for which a listed endpoint gets no work, and ``READY``.

    One that is ``LEAVING`` has said so in an answer, and one that is ``DRAINING``
    in its record.  One that is ``BACKED_OFF`` gets work if no other one can take
    it.
    """

    LEAVING = 'leaving'
    DRAINING = 'draining'
    DEAD = 'dead'
    SILENT = 'silent'
    PAUSED = 'paused'
    BACKED_OFF = 'backed_off'
    READY = 'ready'


def availability(
    table: EndpointTable, endpoint: LiveEndpoint, now: float
) -> Availability:
    """Return the state of a listed endpoint at this entry."""
    reasons = {
        Availability.LEAVING: table.has_said_leaving(endpoint),
        Availability.DRAINING: not table.accepts_work(endpoint),
        Availability.DEAD: table.is_dead(endpoint.name),
        Availability.SILENT: table.is_lost(endpoint.name),
        Availability.PAUSED: table.pauses.is_paused(endpoint, now),
        Availability.BACKED_OFF: table.is_backed_off(endpoint, now),
    }
    applying = (reason for reason, applies in reasons.items() if applies)
    return next(applying, Availability.READY)


def count_availability(
    table: EndpointTable, now: float
) -> dict[Availability, int]:
    """Return the number of listed endpoints in each state."""
    listed = filter(None, map(table.get, table.names()))
    counts = Counter(availability(table, one, now) for one in listed)
    return {state: counts[state] for state in Availability}
