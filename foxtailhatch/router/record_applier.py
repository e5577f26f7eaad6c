"""Apply records of the log to the state of the router."""

from collections.abc import Callable, Iterable
from typing import Protocol

from returns.result import Success

from foxtailhatch.core import Invariant, check_invariant
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.fleet.foreign_records import foreign_reason
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.entry_table import decode_heartbeat
from foxtailhatch.router.keyed_log import KeyedRecord
from foxtailhatch.router.observations import (
    EndpointObservation,
    decode_observation,
)
from foxtailhatch.router.prompt_records import is_prompt_key
from foxtailhatch.routes import RoutingTable

# Heartbeats in a snapshot are of unknown age and count as this old: one and a
# half heartbeat periods.
UNKNOWN_AGE_S = 2.2


class PromptRecords(Protocol):
    """Apply records about parts of prompts."""

    def apply(
        self,
        records: Iterable[KeyedRecord],
        *,
        is_snapshot: bool,
        is_restored: bool = False,
    ) -> None:
        """Apply the records of all entries."""


class RecordApplier:
    """Decode the records of each topic, and update the state."""

    def __init__(
        self,
        board: Blackboard,
        log: StructuredLog,
        adapter: PlatformAdapter,
        is_working: Callable[[str, float], bool],
        prompts: PromptRecords,
    ) -> None:
        """Use ``adapter`` to decode configuration and endpoint records.

        ``is_working`` returns whether streams have recently made progress
        through an endpoint; ``prompts`` applies the records about prompts.
        """
        self._board = board
        self._log = log
        self._adapter = adapter
        self._unreadable: set[str] = set()
        self._in_force: KeyedRecord | None = None
        self._is_working = is_working
        self._prompts = prompts

    def apply_configuration(
        self,
        records: Iterable[KeyedRecord],
        is_snapshot: bool,  # noqa: FBT001
    ) -> None:
        """Put the latest configuration in force; ignore older versions."""
        for record in records:
            if record.key == self._adapter.configuration_key and record.value:
                self._configure(record)

    @property
    def configuration_in_force(self) -> KeyedRecord | None:
        """Return the record of the configuration in force."""
        return self._in_force

    def apply_endpoints(
        self,
        records: Iterable[KeyedRecord],
        lapses_until: float,
        *,
        is_snapshot: bool,
    ) -> None:
        """Update the endpoints, and drop those that have been deleted.

        Until ``lapses_until`` a missing record may be that of an endpoint
        which could not renew it during an outage of the store.
        """
        now = self._board.clock()
        table = self._board.endpoints
        seen = set()
        for record in records:
            seen.add(record.key)
            if record.value is None:
                self._remove_endpoint(record.key, lapses_until, now)
            else:
                self._update_endpoint(record.key, record.value, now)
        if is_snapshot:
            for name in tuple(table.names()):
                if name not in seen:
                    self._remove_endpoint(name, lapses_until, now)

    def apply_entries(
        self,
        records: Iterable[KeyedRecord],
        *,
        is_snapshot: bool,
        is_restored: bool = False,
    ) -> None:
        """Record the heartbeats of entries.

        Those in an older copy of the store are older than those known, and
        may name entries that have left.
        """
        if is_snapshot and is_restored:
            return
        now = self._board.clock()
        for record in records:
            if record.value is None:
                self._board.entries.remove(record.key)
                continue
            decoded = decode_heartbeat(record.value)
            if isinstance(decoded, Success):
                # A record in a snapshot may be of any age.
                received_at = now - UNKNOWN_AGE_S if is_snapshot else now
                heartbeat = decoded.unwrap()
                self._board.entries.record_heartbeat(
                    record.key, heartbeat, received_at
                )
            else:
                self._log.write(
                    'heartbeat_unreadable',
                    key=record.key,
                    why=decoded.failure(),
                )

    def apply_observations(
        self,
        records: Iterable[KeyedRecord],
        *,
        is_snapshot: bool,
        is_restored: bool = False,
    ) -> None:
        """Apply other entries' observations of endpoints and prompts."""
        listed = tuple(records)
        about_prompts = [rec for rec in listed if is_prompt_key(rec.key)]
        self._prompts.apply(
            about_prompts, is_snapshot=is_snapshot, is_restored=is_restored
        )
        if is_snapshot:
            # Old observations no longer describe the endpoints.
            return
        now = self._board.clock()
        for record in listed:
            if is_prompt_key(record.key) or record.value is None:
                # The observation of an endpoint that has left was deleted.
                continue
            decoded = decode_observation(record.value)
            if not isinstance(decoded, Success):
                self._log.write('observation_unreadable', key=record.key)
                continue
            self._apply_observation(decoded.unwrap(), now)

    def _apply_observation(
        self, observation: EndpointObservation, now: float
    ) -> None:
        name = observation.endpoint
        if observation.is_dead and self._is_working(name, now):
            self._log.write(
                'observation_rejected', endpoint=name, by=observation.by
            )
        elif observation.apply(self._board.endpoints, now):
            self._log.write(
                'observation_applied',
                endpoint=name,
                dead=observation.is_dead,
                layers=observation.layers,
                by=observation.by,
            )

    def _configure(self, record: KeyedRecord) -> None:
        decoded = self._adapter.decode_configuration(record.value or b'')
        if not isinstance(decoded, Success):
            self._log.write('configuration_unreadable', why=decoded.failure())
            return
        cfg = decoded.unwrap()
        before = self._board.table
        if before is not None and cfg.version <= before.version:
            return
        check_invariant(
            Invariant.CONFIGURATION_MONOTONIC,
            before is None or cfg.version > before.version,
            str(cfg.version),
        )
        self._board.table = RoutingTable(cfg)
        self._in_force = record
        self._log.write(
            'configuration',
            version=cfg.version,
            before=None if before is None else before.version,
            routes=len(cfg.routes),
            accounts=len(cfg.accounts),
        )

    def _update_endpoint(self, name: str, raw: bytes, now: float) -> None:
        """Apply the record of an endpoint; that of another writer is ignored."""
        table = self._board.endpoints
        decoded = self._adapter.decode_endpoint(name, raw)
        if not isinstance(decoded, Success):
            self._ignore_endpoint(name, decoded.failure())
            return
        endpoint = decoded.unwrap()
        before = table.get(name)
        why = foreign_reason(endpoint, before, self._board.known_services())
        if why is not None:
            self._ignore_endpoint(name, why)
            return
        self._unreadable.discard(name)
        if table.is_outdated(endpoint):
            table.record_outdated(endpoint)
            if before is None:
                self._log.write('endpoint_outdated', name=name)
            return
        before = table.put(endpoint, now)
        if before is None or _has_changed(before, endpoint):
            self._log.write(
                'endpoint',
                name=name,
                state=endpoint.state.value,
                address=endpoint.address,
                zone=endpoint.zone,
                layers=endpoint.layers,
                born=endpoint.incarnation,
                list_revision=table.revision,
            )

    def _ignore_endpoint(self, name: str, why: str) -> None:
        """Log the first of the records that do not describe an endpoint."""
        if name not in self._unreadable:
            self._unreadable.add(name)
            self._log.write('endpoint_unreadable', endpoint=name, why=why)

    def _remove_endpoint(
        self, name: str, lapses_until: float, now: float
    ) -> None:
        table = self._board.endpoints
        if table.get(name) is None:
            return
        if now < lapses_until:
            table.mark_lapsed(name, lapses_until)
            self._log.write(
                'endpoint_lapsed', name=name, for_s=round(lapses_until - now, 2)
            )
        else:
            table.remove(name, now)
            self._log.write('endpoint_gone', name=name)


def _has_changed(before: LiveEndpoint, after: LiveEndpoint) -> bool:
    return (
        before.state is not after.state
        or before.layers != after.layers
        or before.incarnation != after.incarnation
    )
