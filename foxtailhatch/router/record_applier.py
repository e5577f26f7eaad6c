"""Bring what the log says onto the blackboard."""

from collections.abc import Callable, Iterable

from returns.result import Success

from foxtailhatch.core import Invariant, require
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.entry_table import decode_heartbeat
from foxtailhatch.router.keyed_log import KeyedRecord
from foxtailhatch.router.observations import (
    EndpointObservation,
    decode_observation,
)
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.routes import RoutingTable

# An endpoint that falls from the list so soon after an outage may only have
# lapsed during it.
OUTAGE_RECENT_S = 3.0
# Heartbeats found at the start count as this old: one period and a half.
UNKNOWN_AGE_S = 2.2


class RecordApplier:
    """Apply records of each topic."""

    def __init__(
        self,
        board: RouterState,
        log: StructuredLog,
        adapter: PlatformAdapter,
        is_working: Callable[[str, float], bool],
    ) -> None:
        """Decode operators' and endpoints' records as ``adapter`` does.

        ``is_working`` tells whether streams have just come through an
        endpoint.
        """
        self._board = board
        self._log = log
        self._adapter = adapter
        self._unreadable: set[str] = set()
        self._is_working = is_working

    def configuration(
        self,
        records: Iterable[KeyedRecord],
        newest: bool,  # noqa: FBT001
    ) -> None:
        """Put the newest configuration in force; never an older one."""
        for record in records:
            if record.key == self._adapter.configuration_key and record.value:
                self._configure(record.value)

    def endpoints(
        self,
        records: Iterable[KeyedRecord],
        failed_at: float | None,
        *,
        newest: bool,
    ) -> None:
        """Apply what endpoints say; drop those that have left."""
        now = self._board.clock()
        table = self._board.endpoints
        seen = set()
        for record in records:
            seen.add(record.key)
            if record.value is None:
                self._gone(record.key, failed_at, now)
            else:
                self._listed(record.key, record.value, now)
        if newest:
            for name in tuple(table.names()):
                if name not in seen:
                    self._gone(name, failed_at, now)

    def entries(
        self,
        records: Iterable[KeyedRecord],
        newest: bool,  # noqa: FBT001
    ) -> None:
        """Apply the heartbeats of entries."""
        now = self._board.clock()
        for record in records:
            if record.value is None:
                self._board.entries.remove(record.key)
                continue
            found = decode_heartbeat(record.value)
            if isinstance(found, Success):
                # A record found at the start may be of any age.
                heard_at = now - UNKNOWN_AGE_S if newest else now
                heartbeat = found.unwrap()
                self._board.entries.record_heartbeat(
                    record.key, heartbeat, heard_at
                )
            else:
                self._log.write(
                    'entries_unreadable',
                    key=record.key,
                    why=found.failure(),
                )

    def findings(
        self,
        records: Iterable[KeyedRecord],
        newest: bool,  # noqa: FBT001
    ) -> None:
        """Apply what other entries found at endpoints."""
        if newest:
            # Old findings say nothing of the present.
            return
        now = self._board.clock()
        for record in records:
            found = decode_observation(record.value or b'')
            if not isinstance(found, Success):
                self._log.write('finding_unreadable', key=record.key)
                continue
            self._found(found.unwrap(), now)

    def _found(self, finding: EndpointObservation, now: float) -> None:
        name = finding.endpoint
        if finding.is_dead and self._is_working(name, now):
            self._log.write('finding_doubted', endpoint=name)
        elif finding.apply(self._board.endpoints, now):
            self._log.write(
                'finding',
                endpoint=name,
                dead=finding.is_dead,
                layers=finding.layers,
            )

    def _configure(self, raw: bytes) -> None:
        decoded = self._adapter.decode_configuration(raw)
        if not isinstance(decoded, Success):
            self._log.write('configuration_unreadable', why=decoded.failure())
            return
        cfg = decoded.unwrap()
        before = self._board.table
        if before is not None and cfg.version <= before.version:
            return
        require(
            Invariant.CONFIGURATION_NEVER_REVERTS,
            before is None or cfg.version > before.version,
            str(cfg.version),
        )
        self._board.table = RoutingTable(cfg)
        self._log.write(
            'configuration',
            version=cfg.version,
            before=None if before is None else before.version,
            routes=len(cfg.routes),
            accounts=len(cfg.accounts),
        )

    def _listed(self, name: str, raw: bytes, now: float) -> None:
        decoded = self._adapter.decode_endpoint(name, raw)
        if not isinstance(decoded, Success):
            if name not in self._unreadable:
                self._unreadable.add(name)
                self._log.write(
                    'endpoint_unreadable',
                    endpoint=name,
                    why=decoded.failure(),
                )
            self._board.endpoints.remove(name)
            return
        self._unreadable.discard(name)
        endpoint = decoded.unwrap()
        before = self._board.endpoints.put(endpoint, now)
        if before is None or _is_news(before, endpoint):
            self._log.write(
                'endpoint',
                name=name,
                state=endpoint.state.value,
                address=endpoint.address,
                zone=endpoint.zone,
                layers=endpoint.layers,
                born=endpoint.incarnation,
                list_revision=self._board.endpoints.revision,
            )

    def _gone(self, name: str, failed_at: float | None, now: float) -> None:
        table = self._board.endpoints
        if table.get(name) is None:
            return
        if failed_at is not None and now - failed_at < OUTAGE_RECENT_S:
            table.mark_lapsed(name, now)
            self._log.write('endpoint_lapsed', name=name)
        else:
            table.remove(name)
            self._log.write('endpoint_gone', name=name)


def _is_news(before: LiveEndpoint, after: LiveEndpoint) -> bool:
    return (
        before.state is not after.state
        or before.layers != after.layers
        or before.incarnation != after.incarnation
    )
