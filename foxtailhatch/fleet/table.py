"""Table of endpoints with their failures, refusals and observed layers."""

from collections.abc import Iterable
from dataclasses import replace

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet.endpoint import EndpointState, LiveEndpoint
from foxtailhatch.fleet.last_heartbeats import LastHeartbeats
from foxtailhatch.fleet.observed_layers import ObservedLayers
from foxtailhatch.fleet.pauses import EndpointPauses

# Back-off after a failure, which doubles with each consecutive one.  The first
# is as long as the shortest outage of a crashed endpoint in the fault model.
FAILURE_BACKOFF_S = 1.0
FAILURE_BACKOFF_MAX_S = 8.0
# Back-off after a refusal: the endpoint is alive, and the capacity or layers
# that it lacks become available within a few batch steps or loads.
REFUSAL_BACKOFF_S = 0.25
# A sound endpoint may be silent for a second or so.  One that is silent for longer,
# by every probe, is taken for dead.
SOUND_SILENCE_S = 1.5
# Draining incarnations that are remembered, so that no older record of one brings
# it work again.
MAX_DRAINING = 4096
# A new record that is read this long after an endpoint was marked dead was written
# after it, since the list lags by less.  A snapshot brings the known one again.
REVIVAL_DELAY_S = 2.0
# The back-off doubles with each consecutive refusal up to this, since an
# endpoint that releases layers refuses them for seconds.
REFUSAL_BACKOFF_MAX_S = 1.0
# Any endpoint may send a malformed answer once, also where one behind it is at fault.
MIN_MALFORMED_ANSWERS = 2


class EndpointTable:
    """Endpoints by name.

    An endpoint whose record may have expired while the store was unreachable
    stays usable until a given time.  A restart under
    the same name is a new incarnation, for which earlier failures and refusals
    do not count.  One that is silent gets no work, and is either dead or heard of
    again soon.  ``revision`` grows with each change of the table.
    """

    def __init__(self) -> None:
        """Start without endpoints."""
        self._endpoints: dict[str, LiveEndpoint] = {}
        self._heartbeats = LastHeartbeats()
        self._lapsed_until: dict[str, float] = {}
        self._failure_backoffs: dict[str, tuple[float, float]] = {}
        self._draining_since: dict[tuple[str, int], float] = {}
        self._said_leaving: set[tuple[str, int]] = set()
        self._dead_since: dict[str, float] = {}
        self._heartbeats_at_death: dict[str, int] = {}
        self._silent: set[str] = set()
        self.pauses = EndpointPauses()
        self._observations = ObservedLayers()
        self._listed_layers: dict[str, LayerRange | None] = {}
        self._refusal_backoffs: dict[str, tuple[float, float]] = {}
        self._malformed_answers: dict[str, int] = {}
        self.revision = 0

    def is_outdated(self, endpoint: LiveEndpoint) -> bool:
        """Return whether a record is older than what is known."""
        return self._heartbeats.is_older(endpoint)

    def record_outdated(self, endpoint: LiveEndpoint) -> None:
        """Remember an outdated record, as further ones show who wrote it."""
        self._heartbeats.record_older(endpoint)

    def put(self, endpoint: LiveEndpoint, now: float) -> LiveEndpoint | None:
        """Update an endpoint from its record; return the previous state."""
        self._heartbeats.record(endpoint)
        before = self._endpoints.get(endpoint.name)
        self._lapsed_until.pop(endpoint.name, None)
        self._revive(endpoint, before, now)
        self._listed_layers[endpoint.name] = endpoint.layers
        endpoint = self._with_observed_layers(endpoint, before, now)
        if before == endpoint:
            return before
        if before is not None and before.incarnation != endpoint.incarnation:
            self.clear_failures(endpoint.name)
            self._silent.discard(endpoint.name)
        if endpoint.state is EndpointState.DRAINING:
            self._draining_since.setdefault(
                (endpoint.name, endpoint.incarnation), now
            )
            self._forget_drained()
        self._endpoints[endpoint.name] = endpoint
        self.revision += 1
        return before

    def set_observed_layers(
        self,
        name: str,
        incarnation: int,
        layers: LayerRange | None,
        now: float,
    ) -> bool:
        """Set the layers that an incarnation was observed to hold.

        They take precedence over the list for a while.  Return whether they
        changed.
        """
        known = self._endpoints.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        self._observations.record(
            name, layers, self._listed_layers.get(name), now
        )
        if known.layers == layers:
            return False
        self._endpoints[name] = replace(known, layers=layers)
        self.revision += 1
        return True

    def mark_dead(self, name: str, incarnation: int, now: float) -> bool:
        """Mark an incarnation dead until it writes a new record.

        Return whether it is newly marked.
        """
        known = self._endpoints.get(name)
        if (
            known is None
            or known.incarnation != incarnation
            or name in self._dead_since
        ):
            return False
        self._dead_since[name] = now
        self._heartbeats_at_death[name] = self._heartbeats.number(name)
        self._silent.discard(name)
        self.revision += 1
        return True

    def is_dead(self, name: str) -> bool:
        """Return whether an endpoint is marked dead."""
        return name in self._dead_since

    def mark_leaving(self, name: str, incarnation: int, now: float) -> bool:
        """Note that an incarnation has said that it leaves.

        It stays so whatever the list says of it later.  Return whether that
        was news.
        """
        known = (name, incarnation)
        self._said_leaving.add(known)
        if known in self._draining_since:
            return False
        self._draining_since[known] = now
        self._forget_drained()
        self.revision += 1
        return True

    def has_said_leaving(self, endpoint: LiveEndpoint) -> bool:
        """Return whether an incarnation has said in an answer that it leaves."""
        return (endpoint.name, endpoint.incarnation) in self._said_leaving

    def mark_silent(self, name: str, incarnation: int) -> bool:
        """Mark an incarnation silent; return whether it is newly marked."""
        known = self._endpoints.get(name)
        if (
            known is None
            or known.incarnation != incarnation
            or self.is_lost(name)
        ):
            return False
        self._silent.add(name)
        self.revision += 1
        return True

    def clear_silence(self, name: str) -> None:
        """Note that an endpoint was heard of, or that nothing is known of it."""
        if name in self._silent:
            self._silent.discard(name)
            self.revision += 1

    def is_lost(self, name: str) -> bool:
        """Return whether an endpoint is marked dead or silent."""
        return name in self._dead_since or name in self._silent

    def revive(self, name: str, incarnation: int) -> bool:
        """Withdraw that an incarnation is dead; return whether it was."""
        known = self._endpoints.get(name)
        if (
            known is None
            or known.incarnation != incarnation
            or self._dead_since.pop(name, None) is None
        ):
            return False
        self.clear_failures(name)
        self.revision += 1
        return True

    def dead_for(self, seconds: float, now: float) -> list[LiveEndpoint]:
        """Return the listed endpoints that have been dead for a time."""
        return [
            self._endpoints[name]
            for name, since in self._dead_since.items()
            if now - since >= seconds and name in self._endpoints
        ]

    def remove(self, name: str, now: float) -> None:
        """Remove an endpoint that has left."""
        self._heartbeats.record_removal(name, now)
        self._lapsed_until.pop(name, None)
        self._dead_since.pop(name, None)
        self._heartbeats_at_death.pop(name, None)
        self._silent.discard(name)
        self._observations.remove(name)
        self._listed_layers.pop(name, None)
        self.clear_failures(name)
        if self._endpoints.pop(name, None) is not None:
            self.revision += 1

    def mark_lapsed(self, name: str, until: float) -> None:
        """Note that a record may have expired during an outage of the store."""
        if name in self._endpoints:
            self._lapsed_until.setdefault(name, until)

    @property
    def lapsed(self) -> frozenset[str]:
        """Return the names of the endpoints whose records may have expired."""
        return frozenset(self._lapsed_until)

    def limit_lapses(self, until: float) -> None:
        """Let the time of all lapsed endpoints end at ``until`` at the latest."""
        self._lapsed_until = {
            name: min(known, until)
            for name, known in self._lapsed_until.items()
        }

    def remove_lapsed(self, now: float) -> list[str]:
        """Remove lapsed endpoints whose time is over; return their names."""
        expired = [
            name for name, until in self._lapsed_until.items() if now >= until
        ]
        for name in expired:
            self.remove(name, now)
        return expired

    def get(self, name: str) -> LiveEndpoint | None:
        """Return an endpoint by its name."""
        return self._endpoints.get(name)

    def by_address(self, address: str) -> LiveEndpoint | None:
        """Return the endpoint with the newest incarnation at an address."""
        matching = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.address == address
        ]
        return max(
            matching, key=lambda endpoint: endpoint.incarnation, default=None
        )

    def of_service(self, service: str) -> list[LiveEndpoint]:
        """Return the endpoints of a service, draining and dead ones too."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service
        ]

    def usable(self, service: str, now: float) -> list[LiveEndpoint]:
        """Return the endpoints that are alive and not in back-off."""
        return [
            endpoint
            for endpoint in self.alive(service)
            if not self.is_backed_off(endpoint, now)
        ]

    def paused(self, service: str, now: float) -> list[LiveEndpoint]:
        """Return the endpoints that want nothing from this entry now."""
        if not self.pauses:
            return []
        return [
            endpoint
            for endpoint in self.alive(service)
            if self.pauses.is_paused(endpoint, now)
        ]

    def returning(self, service: str) -> list[LiveEndpoint]:
        """Return the endpoints that have taken no request since a pause.

        Those that are still paused are among them.
        """
        if not self.pauses:
            return []
        return list(filter(self.pauses.is_returning, self.alive(service)))

    def shortest_pause_s(self, service: str, now: float) -> float:
        """Return after how many seconds the first endpoint may get work.

        It is 0 unless all endpoints of the service asked for a pause.
        """
        return min(
            (
                self.pauses.left_s(endpoint, now)
                for endpoint in self.alive(service)
            ),
            default=0,
        )

    def alive(self, service: str) -> list[LiveEndpoint]:
        """Return the endpoints that are neither draining, dead nor silent."""
        return [
            endpoint
            for endpoint in self.of_service(service)
            if self.is_available(endpoint) and endpoint.name not in self._silent
        ]

    def is_running(self, endpoint: LiveEndpoint) -> bool:
        """Return whether an incarnation is listed and not dead.

        One that drains is running too.
        """
        known = self._endpoints.get(endpoint.name)
        if known is None or known.incarnation != endpoint.incarnation:
            return False
        return not self.is_dead(endpoint.name)

    def is_available(self, endpoint: LiveEndpoint) -> bool:
        """Return whether an incarnation is neither gone, draining nor dead."""
        return self.accepts_work(endpoint) and self.is_running(endpoint)

    def draining_for(self, endpoint: LiveEndpoint, now: float) -> float | None:
        """Return for how many seconds an endpoint is known to drain."""
        since = self._draining_since.get((endpoint.name, endpoint.incarnation))
        return None if since is None else now - since

    def accepts_work(self, endpoint: LiveEndpoint) -> bool:
        """Return whether an endpoint is listed and not draining."""
        if (endpoint.name, endpoint.incarnation) in self._draining_since:
            return False
        return endpoint.name in self._endpoints

    def record_failure(self, name: str, now: float) -> float:
        """Begin the back-off after a failure; return its end.

        Failures during a back-off do not extend it.
        """
        until, span_s = self._failure_backoffs.get(name, (now, 0))
        if now >= until:
            span_s = min(
                FAILURE_BACKOFF_MAX_S, max(FAILURE_BACKOFF_S, 2 * span_s)
            )
            until = now + span_s
        self._failure_backoffs[name] = (until, span_s)
        return until

    def record_malformed(self, name: str, now: float) -> float | None:
        """Count an answer of other bytes, and back off after several in a row.

        Return the end of the back-off, or ``None`` if there is none.
        """
        self._malformed_answers[name] = self._malformed_answers.get(name, 0) + 1
        if self._malformed_answers[name] < MIN_MALFORMED_ANSWERS:
            return None
        return self.record_failure(name, now)

    def record_refusal(self, name: str, now: float) -> float:
        """Begin the back-off after a refusal; return its end.

        Refusals during a back-off do not extend it.
        """
        refused_until, span_s = self._refusal_backoffs.get(
            name, (float('-inf'), 0)
        )
        if now > refused_until + REFUSAL_BACKOFF_MAX_S:
            span_s = 0
        if now >= refused_until:
            span_s = min(
                REFUSAL_BACKOFF_MAX_S, max(REFUSAL_BACKOFF_S, 2 * span_s)
            )
            self._refusal_backoffs[name] = (now + span_s, span_s)
        return self._refusal_backoffs[name][0]

    def clear_failures(self, name: str) -> None:
        """Drop the failures and refusals of an endpoint."""
        self._failure_backoffs.pop(name, None)
        self._refusal_backoffs.pop(name, None)
        self._malformed_answers.pop(name, None)

    def is_backed_off(self, endpoint: LiveEndpoint, now: float) -> bool:
        """Return whether an endpoint is in back-off, without new requests."""
        until, _ = self._failure_backoffs.get(endpoint.name, (0, 0))
        refused_until, _ = self._refusal_backoffs.get(endpoint.name, (0, 0))
        return now < max(until, refused_until)

    def is_refusing(self, endpoint: LiveEndpoint, now: float) -> bool:
        """Return whether an endpoint is in back-off after a refusal."""
        refused_until, _ = self._refusal_backoffs.get(endpoint.name, (0, 0))
        return now < refused_until

    def _forget_drained(self) -> None:
        """Forget the oldest endpoints that drained and are no longer listed."""
        while len(self._draining_since) > MAX_DRAINING:
            gone = (
                known
                for known in self._draining_since
                if known[0] not in self._endpoints
            )
            oldest = next(gone, None)
            if oldest is None:
                return
            self._draining_since.pop(oldest)
            self._said_leaving.discard(oldest)

    def _with_observed_layers(
        self,
        endpoint: LiveEndpoint,
        before: LiveEndpoint | None,
        now: float,
    ) -> LiveEndpoint:
        """Return the endpoint, with observed layers if they take precedence."""
        if before is None or before.incarnation != endpoint.incarnation:
            self._observations.remove(endpoint.name)
            return endpoint
        is_newer, layers = self._observations.newer_than(
            endpoint.name,
            endpoint.layers,
            now,
        )
        return replace(endpoint, layers=layers) if is_newer else endpoint

    def _revive(
        self,
        endpoint: LiveEndpoint,
        before: LiveEndpoint | None,
        now: float,
    ) -> None:
        dead_since = self._dead_since.get(endpoint.name)
        if dead_since is None:
            return
        is_new = (
            before is not None and before.incarnation != endpoint.incarnation
        )
        number = self._heartbeats_at_death.get(endpoint.name, 0)
        is_written = not number or endpoint.heartbeats > number
        if is_new or (is_written and now - dead_since > REVIVAL_DELAY_S):
            self._dead_since.pop(endpoint.name)
            self.clear_failures(endpoint.name)
            self.revision += 1

    def names(self) -> Iterable[str]:
        """Return the names of all endpoints."""
        return tuple(self._endpoints)
