"""Read, publish and snapshot the configuration at one entry."""

import asyncio
from collections.abc import Callable, Sequence

from returns.result import Failure, Result, Success

from foxtailhatch.callers.operations import MarkRequest
from foxtailhatch.config import (
    CONFIGURATION_STREAM,
    Accepted,
    Marked,
    MarkRecord,
    Refused,
    StateAdopted,
    encode_record,
    index_configuration,
)
from foxtailhatch.config.fold import ApplyOutcome, RecordsLost
from foxtailhatch.config.publisher import (
    PublicationAttempt,
    PublicationFailure,
    Published,
    start_publication,
)
from foxtailhatch.config.snapshots import SnapshotWriter
from foxtailhatch.core import EventKind, Mark
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.endpoint_monitor import EndpointMonitor
from foxtailhatch.daemon.pause_detector import LeaveSource
from foxtailhatch.durable.append_attempt import AppendRecord
from foxtailhatch.durable.log_follower import LogFollower
from foxtailhatch.outside import LogService, PlatformError, PlatformFault

PUBLISH_STEP_S = 0.05


class ConfigurationLoop:
    """Fold the configuration stream and apply the result to the blackboard."""

    def __init__(
        self,
        board: Blackboard,
        log: LogService,
        endpoint_monitor: EndpointMonitor,
        follower: LogFollower,
        snapshots: SnapshotWriter,
        now: Callable[[], float],
    ) -> None:
        """Keep the collaborators; ``now`` is the loop's time in seconds."""
        self._applied_marks: dict[str, str] = {}
        self._has_caught_up = False
        self._board = board
        self._log = log
        self._endpoint_monitor = endpoint_monitor
        self._follower = follower
        self._snapshots = snapshots
        self._now = now

    async def step(self) -> None:
        """Read the next page if due, then write a snapshot if one is due."""
        fold = self._board.fold
        due = self._follower.next_read(self._now(), fold.next_offset)
        if due is None:
            return
        begun_at = self._now()
        page = await self._log.read(due.stream, due.offset, due.limit)
        self._endpoint_monitor.pause_detector.record_read(
            LeaveSource.LOG, begun_at
        )
        if not isinstance(page, Success):
            self._record_read_failure(page.failure().fault)
            return
        log_page = page.unwrap()
        outcomes = fold.apply_page(log_page)
        if self._follower.handle_page(self._now(), log_page, fold.next_offset):
            self._record(EventKind.LOG_AVAILABLE, CONFIGURATION_STREAM)
        self.apply_outcomes(outcomes)
        is_at_end = log_page.end == fold.next_offset
        self._has_caught_up = self._has_caught_up or is_at_end
        await self._write_snapshot(is_at_end)

    async def publish(
        self,
        document: bytes,
        made_from: int,
        publication_id: str,
    ) -> Result[Published, PublicationFailure]:
        """Publish a document and wait until it is accepted or rejected.

        ``made_from`` is the version that the document was edited from.
        """
        started = start_publication(
            self._now(),
            self._board.fold,
            document,
            made_from,
            publication_id,
        )
        if not isinstance(started, Success):
            return Failure(started.failure())
        return await self._wait_for_outcome(started.unwrap())

    async def mark(self, req: MarkRequest) -> Result[int, PlatformError]:
        """Append a mark; return its log offset, or the error of the append."""
        body = encode_record(MarkRecord(req.mark_id, req.instance, req.mark))
        return await self._append(AppendRecord(CONFIGURATION_STREAM, body))

    async def _wait_for_outcome(
        self,
        attempt: PublicationAttempt,
    ) -> Result[Published, PublicationFailure]:
        while True:
            step = attempt.step(self._now(), self._board.fold)
            if isinstance(step, AppendRecord):
                await self._append_publication(attempt, step)
            elif step is not None:
                return step
            await asyncio.sleep(PUBLISH_STEP_S)

    async def _append_publication(
        self,
        attempt: PublicationAttempt,
        record: AppendRecord,
    ) -> None:
        appended = await self._append(record)
        if isinstance(appended, Success):
            attempt.append.handle_acknowledgement(self._now())
        else:
            attempt.append.handle_failure(self._now(), appended.failure().fault)

    async def _append(self, record: AppendRecord) -> Result[int, PlatformError]:
        appended = await self._log.append(record.stream, record.body)
        if isinstance(appended, Success):
            self._follower.poll_soon(self._now())
        else:
            self._board.metrics.count_log_fault(appended.failure().fault)
        return appended

    async def _write_snapshot(self, caught_up: bool) -> None:
        snapshot = self._snapshots.step(
            self._board.wall_time(),
            self._board.fold,
            caught_up,
        )
        if snapshot is not None:
            await self._append(snapshot)
            self._record(EventKind.SNAPSHOT_WRITTEN, CONFIGURATION_STREAM)

    def _record_read_failure(self, fault: PlatformFault) -> None:
        self._board.metrics.count_log_fault(fault)
        if self._follower.handle_read_failure(self._now()):
            self._record(EventKind.LOG_UNAVAILABLE, CONFIGURATION_STREAM)

    def apply_outcomes(self, outcomes: Sequence[ApplyOutcome]) -> None:
        """Apply the outcomes of folded records to the blackboard."""
        for outcome in outcomes:
            match outcome:
                case Accepted() | StateAdopted():
                    self._activate()
                case Refused(publication_id=refused):
                    self._record(EventKind.PUBLICATION_REFUSED, refused)
                case RecordsLost(next_offset, first):
                    self._record(
                        EventKind.RECORDS_LOST, f'{next_offset}-{first}'
                    )
        if any(isinstance(each, Marked | StateAdopted) for each in outcomes):
            self._apply_marks()

    def _activate(self) -> None:
        cfg = self._board.fold.in_force
        index = self._board.index
        # A snapshot or a peer update can repeat the version in force.
        if cfg is None or (index and index.cfg.version == cfg.version):
            return
        self._board.index = index_configuration(cfg)
        accounts = {account.name: account for account in cfg.accounts}
        self._board.admission.accounts = accounts
        self._board.endpoints.apply_configuration(cfg.endpoints)
        self._board.entries.update_own(configuration_version=cfg.version)
        self._record(EventKind.CONFIGURATION_IN_FORCE, str(cfg.version))
        self._endpoint_monitor.sync_pool()

    def _apply_marks(self) -> None:
        for instance, record in self._board.fold.export_state().marks.items():
            if self._applied_marks.get(instance) != record.mark_id:
                self._applied_marks[instance] = record.mark_id
                self._apply_mark(instance, record.mark)

    def _apply_mark(self, instance: str, mark: Mark) -> None:
        now = self._now()
        self._record(EventKind.MARK_CHANGED, f'{instance} {mark.value}')
        self._board.entries.apply_mark(instance, mark)
        is_own = instance == self._board.name
        if is_own and mark is Mark.STOP:
            self._board.stop.request(now)
        if is_own or self._board.entries.record(instance) is not None:
            return
        # The age of marks read before catching up with the log is unknown.
        made_at = now if self._has_caught_up else None
        changes = self._board.endpoints.apply_mark(
            instance,
            mark,
            now,
            made_at=made_at,
        )
        self._endpoint_monitor.apply_changes(changes)

    def _record(self, kind: EventKind, subject: str) -> None:
        self._board.record(kind, subject)
