"""The one table where all that is said about endpoints meets.

Four sources speak, and they disagree.  The table weighs them in this order:

1. A ``stop`` or ``leave`` mark of the log closes an endpoint to new work
   until a later ``join`` mark.
2. What an engine itself said: a refusal because it leaves closes it at once,
   until a ``join`` mark, another address under the same name, or a list that
   is read ``LIST_LAG_S`` later and shows it live.
3. The platform's list closes an endpoint that it shows as leaving.  A
   ``join`` mark outweighs what the list said before the mark, for as long as
   the list may lag, if the mark is known to be newer.
4. An endpoint that the list has dropped stays usable while a session to it is
   open or the configuration names it, else for ``MISSING_KEEP_S``.  If the
   list does not show it, a refused session shows it dead for a while.

Any claim that an endpoint leaves is believed at once; it takes a stronger or
a newer source to open the endpoint again.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from foxtailhatch.core import (
    Endpoint,
    EndpointKind,
    Invariant,
    Mark,
    require,
)
from foxtailhatch.membership.endpoint_record import (
    EndpointRecord,
    EndpointState,
)
from foxtailhatch.outside import LiveInstance

_ENDPOINT_ROLES = frozenset(kind.value for kind in EndpointKind)


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """An endpoint went from one state to another."""

    endpoint: str
    before: EndpointState
    after: EndpointState


class EndpointTable:
    """Tell which endpoints may get new work.

    >>> table = EndpointTable()
    >>> table.apply_mark('gpu-1', Mark.LEAVE, 5.0)[0].after.value
    'leaving'
    >>> table.may_send('gpu-1', 5.0)
    False
    """

    def __init__(self) -> None:
        """Start without knowing any endpoint."""
        self._records: dict[str, EndpointRecord] = {}

    def apply_mark(
        self,
        instance: str,
        mark: Mark,
        now: float,
        offset: int | None = None,
        made_at: float | None = None,
    ) -> tuple[EndpointChange, ...]:
        """Take a mark of the log, in the log's order.

        With its log ``offset`` given, a mark that is read again is ignored.
        ``made_at`` says when it was made, on the clock of ``now``; without
        it, a ``join`` that follows no mark seen here may be of any age.
        """
        record = self._record(instance)
        if offset is not None and offset <= record.mark_offset:
            return ()
        before = record.state(now)
        record.take_mark(mark, now, made_at)
        if offset is not None:
            record.mark_offset = offset
        return _changed(instance, before, record.state(now))

    def apply_instance_list(
        self,
        instances: Iterable[LiveInstance],
        now: float,
    ) -> tuple[EndpointChange, ...]:
        """Take the platform's list as it was read at ``now``."""
        shown = {
            instance.name: instance
            for instance in instances
            if instance.role in _ENDPOINT_ROLES
        }
        before = {name: self.state(name, now) for name in self._records}
        for name, instance in shown.items():
            self._record(name).take_line(instance, now)
        for name, record in self._records.items():
            if name not in shown:
                record.take_absence(now)
        self._forget(now)
        return tuple(self._changes(before, now))

    def apply_configuration(self, endpoints: Iterable[Endpoint]) -> None:
        """Take the endpoints that the configuration in force names."""
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
        """Learn from the endpoint itself, or from a peer, that it leaves.

        A peer's word comes late, so ``observed_at`` says when it was true; a
        ``join`` mark that came after it outweighs it.
        """
        since = now if observed_at is None else observed_at
        record = self._record(name)
        if since < record.joined_at:
            return ()
        before = record.state(now)
        if record.observed_leaving_at is None:
            record.observed_leaving_at = since
        return _changed(name, before, record.state(now))

    def record_session_open(self, name: str, now: float) -> None:
        """Learn that a session with the endpoint is open."""
        record = self._record(name)
        record.connected = True
        record.refused_at = None

    def record_session_loss(self, name: str, now: float) -> None:
        """Learn that a session was refused or lost."""
        record = self._record(name)
        record.connected = False
        record.refused_at = now

    def state(self, name: str, now: float) -> EndpointState:
        """Return the state of an endpoint, ``UNKNOWN`` if never heard of."""
        record = self._records.get(name)
        return EndpointState.UNKNOWN if record is None else record.state(now)

    def may_send(self, name: str, now: float) -> bool:
        """Tell whether the endpoint may get new work now."""
        return self.state(name, now) is EndpointState.USABLE

    def usable_names(self, now: float) -> tuple[str, ...]:
        """Return the endpoints that may get new work, sorted by name."""
        return tuple(
            sorted(
                name
                for name, record in self._records.items()
                if record.state(now) is EndpointState.USABLE
            ),
        )

    def names(self) -> tuple[str, ...]:
        """Return every endpoint heard of, sorted by name."""
        return tuple(sorted(self._records))

    def endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint with the list's address and all labels."""
        record = self._records.get(name)
        if record is None:
            return None
        return record.merged()

    def check_send(self, name: str, now: float) -> None:
        """Assert, as new work is sent, that the endpoint does not leave.

        Call :meth:`may_send` in the same turn of the loop and send elsewhere
        if it says no; frames of streams already open are not new work.
        """
        record = self._records.get(name)
        learned = None if record is None else record.leaving_since(now)
        require(
            Invariant.LEAVING_GETS_NO_WORK,
            learned is None,
            f'new work to {name} at {now}, its leave was learned at {learned}',
        )

    def _record(self, name: str) -> EndpointRecord:
        return self._records.setdefault(name, EndpointRecord())

    def _forget(self, now: float) -> None:
        for name, record in tuple(self._records.items()):
            if record.is_forgettable(now):
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
