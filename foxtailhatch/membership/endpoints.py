"""Table of endpoints that reconciles all sources of information about them.

The four sources can contradict each other.  Their order of precedence is:

1. A ``stop`` or ``leave`` mark of the log excludes an endpoint from new work
   until a later ``join`` mark.
2. An engine that refuses work because it leaves is excluded immediately,
   until a ``join`` mark, a new address under the same name, or a list that
   is read at least ``LIST_LAG_S`` later and shows it as live.
3. The platform's list excludes an endpoint that it shows as leaving.  A
   ``join`` mark overrides older information of the list for as long as the
   list may lag, if the mark is known to be newer.
4. An endpoint that is no longer listed stays usable while a session to it is
   open or the configuration names it, otherwise for ``MISSING_TTL_S``.  A
   refused session marks an unlisted endpoint as dead for ``REFUSED_TTL_S``.

A claim that an endpoint leaves takes effect immediately; only a source of
higher precedence or newer information makes the endpoint usable again.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from foxtailhatch.core import (
    Endpoint,
    EndpointKind,
    Invariant,
    Mark,
    check_invariant,
)
from foxtailhatch.membership.endpoint_record import (
    EndpointRecord,
    EndpointState,
)
from foxtailhatch.outside import LiveInstance

_ENDPOINT_ROLES = frozenset(kind.value for kind in EndpointKind)


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """A change of an endpoint's state."""

    endpoint: str
    before: EndpointState
    after: EndpointState


class EndpointTable:
    """Track which endpoints may get new work.

    >>> table = EndpointTable()
    >>> table.apply_mark('gpu-1', Mark.LEAVE, 5.0)[0].after.value
    'leaving'
    >>> table.may_send('gpu-1', 5.0)
    False
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._records: dict[str, EndpointRecord] = {}

    def apply_mark(
        self,
        instance: str,
        mark: Mark,
        now: float,
        offset: int | None = None,
        made_at: float | None = None,
    ) -> tuple[EndpointChange, ...]:
        """Apply a mark of the log; call it in log order.

        If ``offset`` is given, a mark that was already applied is ignored.
        ``made_at`` is the time of the mark on the clock of ``now``.  Without
        it, a ``join`` that follows no applied mark is of unknown age and
        overrides no other source.
        """
        record = self._record(instance)
        if offset is not None and offset <= record.mark_offset:
            return ()
        before = record.state(now)
        record.apply_mark(mark, now, made_at)
        if offset is not None:
            record.mark_offset = offset
        return _changed(instance, before, record.state(now))

    def apply_instance_list(
        self,
        instances: Iterable[LiveInstance],
        now: float,
    ) -> tuple[EndpointChange, ...]:
        """Apply the platform's instance list as read at ``now``."""
        shown = {
            instance.name: instance
            for instance in instances
            if instance.role in _ENDPOINT_ROLES
        }
        before = {name: self.state(name, now) for name in self._records}
        for name, instance in shown.items():
            self._record(name).apply_listing(instance, now)
        for name, record in self._records.items():
            if name not in shown:
                record.apply_absence(now)
        self._forget(now)
        return tuple(self._changes(before, now))

    def apply_configuration(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the endpoints named by the active configuration."""
        named = {endpoint.name: endpoint for endpoint in endpoints}
        for name in named:
            self._record(name)
        for name, record in self._records.items():
            record.configured = named.get(name)

    def record_leaving(
        self,
        name: str,
        now: float,
        observed_at: float | None = None,
    ) -> tuple[EndpointChange, ...]:
        """Record that an endpoint leaves, as it or a peer reported.

        ``observed_at`` is the time of the original observation, as reports of
        peers are delayed; an observation older than the last ``join`` mark is
        ignored.
        """
        since = now if observed_at is None else observed_at
        record = self._record(name)
        if since < record.join_effective_at:
            return ()
        before = record.state(now)
        if record.observed_leaving_at is None:
            record.observed_leaving_at = since
        return _changed(name, before, record.state(now))

    def record_session_open(self, name: str, now: float) -> None:
        """Record that a session with the endpoint is open."""
        record = self._record(name)
        record.connected = True
        record.refused_at = None

    def record_session_loss(self, name: str, now: float) -> None:
        """Record that a session with the endpoint was refused or lost."""
        record = self._record(name)
        record.connected = False
        record.refused_at = now

    def state(self, name: str, now: float) -> EndpointState:
        """Return the state of an endpoint, ``UNKNOWN`` if it has no record."""
        record = self._records.get(name)
        return EndpointState.UNKNOWN if record is None else record.state(now)

    def may_send(self, name: str, now: float) -> bool:
        """Return whether the endpoint may get new work now."""
        return self.state(name, now) is EndpointState.USABLE

    def usable_names(self, now: float) -> tuple[str, ...]:
        """Return the names of the endpoints that may get new work, sorted."""
        return tuple(
            sorted(
                name
                for name, record in self._records.items()
                if record.state(now) is EndpointState.USABLE
            ),
        )

    def names(self) -> tuple[str, ...]:
        """Return the names of all endpoints in the table, sorted."""
        return tuple(sorted(self._records))

    def endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint with its listed address, ``None`` if unknown."""
        record = self._records.get(name)
        if record is None:
            return None
        return record.merged()

    def check_send(self, name: str, now: float) -> None:
        """Assert that an endpoint to which new work is sent is not draining.

        Call :meth:`may_send` in the same iteration of the event loop and
        choose another endpoint if it returns false.  Frames of streams that
        are already open are not new work.
        """
        record = self._records.get(name)
        learned = None if record is None else record.leaving_since(now)
        check_invariant(
            Invariant.DRAINING_GETS_NO_WORK,
            learned is None,
            f'new work to {name} at {now}, its leave was learned at {learned}',
        )

    def _record(self, name: str) -> EndpointRecord:
        return self._records.setdefault(name, EndpointRecord())

    def _forget(self, now: float) -> None:
        for name, record in tuple(self._records.items()):
            if record.is_removable(now):
                self._records.pop(name)

    def _changes(
        self,
        before: dict[str, EndpointState],
        now: float,
    ) -> Iterator[EndpointChange]:
        for name in sorted(before.keys() | self._records.keys()):
            yield from _changed(
                name,
                before.get(name, EndpointState.UNKNOWN),
                self.state(name, now),
            )


def _changed(
    name: str,
    before: EndpointState,
    after: EndpointState,
) -> tuple[EndpointChange, ...]:
    if before is after:
        return ()
    return (EndpointChange(name, before, after),)
