"""The event timeline of an instance, a ring buffer of typed events."""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core.hybrid_clock import HybridClock, HybridTimestamp

MAX_EVENTS = 20_000


class EventKind(StrEnum):
    """The kinds of events on the timeline."""

    STARTED = 'started'
    STOP_REQUESTED = 'stop_asked'
    STOPPED = 'stopped'
    REQUEST_ADMITTED = 'request_admitted'
    REQUEST_REFUSED = 'request_refused'
    REQUEST_FINISHED = 'request_finished'
    REQUEST_CANCELLED = 'request_cancelled'
    REQUEST_CUT = 'request_cut'
    ANSWER_DELIVERED = 'answer_delivered'
    CHAIN_SELECTED = 'chain_chosen'
    ANSWER_RECOVERED = 'answer_recovered'
    SERVICE_SENT = 'service_sent'
    SERVICE_ANSWERED = 'service_answered'
    CLAIM_DECIDED = 'claim_decided'
    OUTCOMES_UNSENT = 'outcomes_unsent'
    CONFIGURATION_IN_FORCE = 'configuration_in_force'
    PUBLICATION_REFUSED = 'publication_refused'
    RECORDS_LOST = 'records_lost'
    SNAPSHOT_WRITTEN = 'snapshot_written'
    LOG_UNAVAILABLE = 'log_unavailable'
    LOG_AVAILABLE = 'log_available'
    LEASE_ACQUIRED = 'lease_taken'
    LEASE_LOST = 'lease_lost'
    ORDER_SENT = 'order_sent'
    MARK_CHANGED = 'mark_changed'
    ENDPOINT_CHANGED = 'endpoint_changed'
    MEMBER_CHANGED = 'member_changed'
    ENDPOINT_EJECTED = 'endpoint_ejected'
    ENDPOINT_RESTORED = 'endpoint_restored'
    SESSION_OPENED = 'session_opened'
    SESSION_LOST = 'session_lost'
    INVARIANT_BROKEN = 'invariant_broken'


@dataclass(frozen=True, slots=True)
class Event:
    """An event; ``subject`` is the request, endpoint or other thing concerned."""

    stamp: HybridTimestamp
    kind: EventKind
    subject: str
    detail: str = ''


class Timeline:
    """Keeps the latest events of this instance and evicts the oldest.

    >>> line = Timeline(HybridClock('entry-1'), size=1)
    >>> _ = line.record(1.0, EventKind.STARTED, 'entry-1')
    >>> _ = line.record(2.0, EventKind.STOPPED, 'entry-1')
    >>> [event.kind.value for event in line.events()]
    ['stopped']
    """

    def __init__(self, clock: HybridClock, size: int = MAX_EVENTS) -> None:
        """Create an empty timeline of at most ``size`` events."""
        self.clock = clock
        self._events: deque[Event] = deque(maxlen=size)

    def record(
        self,
        now: float,
        kind: EventKind,
        subject: str,
        detail: str = '',
    ) -> Event:
        """Record an event at wall time ``now`` and return it."""
        event = Event(self.clock.tick(now), kind, subject, detail)
        self._events.append(event)
        return event

    def events(self, subject: str = '') -> list[Event]:
        """Return the events in order, all or only those of ``subject``."""
        return [
            event for event in self._events if subject in {'', event.subject}
        ]
