"""Fold the configuration stream, including across lost records.

A reader is *complete* when it has folded every record up to its last offset.
If the next record has already expired from the log, the reader may have
missed a publication.  It then keeps its configuration in force, folds no more
records, and reads on only to find a snapshot that covers all lost records.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from returns.pipeline import is_successful

from foxtailhatch.config.configuration import Configuration
from foxtailhatch.config.outcomes import Accepted, FoldOutcome, Unchanged
from foxtailhatch.config.recent_records import RecentRecords
from foxtailhatch.config.records import (
    ConfigurationRecord,
    Restoration,
    SnapshotRecord,
    decode_record,
)
from foxtailhatch.config.state import (
    FoldState,
    fold_record,
    restore_state,
    skip_record,
)
from foxtailhatch.core import Invariant, Mark, check_invariant
from foxtailhatch.outside import LogPage, LogRecord
from foxtailhatch.outside.log_offsets import epoch_of, offset_in_epoch

BEFORE_FIRST_OFFSET = -1
MAX_VERSIONS = 200


@dataclass(frozen=True, slots=True)
class StateAdopted:
    """The state was replaced by a newer one of a snapshot or a peer."""

    version: int
    last_offset: int


@dataclass(frozen=True, slots=True)
class RecordsLost:
    """Records from ``next_offset`` to before ``first`` have expired."""

    next_offset: int
    first: int


ApplyOutcome = FoldOutcome | StateAdopted | RecordsLost


class ConfigurationFold:
    """A reader that folds the configuration stream into the current state.

    Pass it each page read from offset :attr:`next_offset`, and the records
    and states received from peers.  The version in force never decreases.
    """

    def __init__(self) -> None:
        """Start before the first record, with no configuration in force."""
        self._state = FoldState(BEFORE_FIRST_OFFSET)
        self._cursor = BEFORE_FIRST_OFFSET
        self._gap_end = 0
        self._recent = RecentRecords()
        self._accepted_offsets: dict[int, int] = {0: BEFORE_FIRST_OFFSET}

    @property
    def in_force(self) -> Configuration | None:
        """Return the configuration in force, or ``None``."""
        return self._state.cfg if self._state.cfg.version else None

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""
        return self._state.cfg.version

    @property
    def last_offset(self) -> int:
        """Return the offset of the last folded record."""
        return self._state.last_offset

    @property
    def next_offset(self) -> int:
        """Return the offset to read next."""
        return self._cursor + 1

    @property
    def is_complete(self) -> bool:
        """Return whether no record up to the last offset is known to be lost."""
        return self._state.last_offset + 1 >= self._gap_end

    @property
    def marks(self) -> dict[str, Mark]:
        """Return the latest mark of each marked instance."""
        marks = self._state.marks
        return {name: record.mark for name, record in marks.items()}

    def decision(self, publication_id: str) -> int | None:
        """Return the version that a publication became.

        The result is 0 if the publication was refused, and ``None`` if it is
        not known.
        """
        return self._state.decided.get(publication_id)

    def export_state(self) -> FoldState:
        """Return the current state, for peers and snapshots."""
        return self._state

    def records_after(self, offset: int) -> tuple[LogRecord, ...] | None:
        """Return the records that a peer lacks after ``offset``.

        The result is ``None`` if some are no longer held here: the peer then
        needs the whole state of :meth:`export_state`.
        """
        if offset >= self.last_offset:
            return ()
        return self._recent.after(offset)

    def records_since(self, version: int) -> tuple[LogRecord, ...] | None:
        """Return the records that a peer with ``version`` in force may lack.

        The result is ``None`` if some are no longer held here.
        """
        if version >= self.version:
            return ()
        offset = self._accepted_offsets.get(version)
        return None if offset is None else self._recent.after(offset)

    def adopt_state(self, state: FoldState) -> bool:
        """Replace the state by ``state`` if that is newer.

        Folding is deterministic: of two readers of the same stream, the one
        at the higher offset has seen everything that the other has.  A stream
        that returned from an older copy has lost versions, though: of states
        in two epochs the higher version is newer, and a configuration in force
        is not replaced by another one of the same version.
        """
        is_further = state.last_offset > self.last_offset
        if epoch_of(state.last_offset) != epoch_of(self.last_offset):
            is_same = state.cfg == self._state.cfg
            has_more = state.cfg.version > self.version
            is_further = has_more or (is_same and is_further)
        if not is_further:
            return False
        self._replace_state(state)
        return True

    def apply_records(self, records: Iterable[LogRecord]) -> list[FoldOutcome]:
        """Fold the records of a peer that directly follow the last offset."""
        outcomes: list[FoldOutcome] = []
        for record in records:
            if record.offset == self.last_offset + 1:
                outcomes.append(self._fold(record))
        return outcomes

    def apply_page(self, page: LogPage) -> list[ApplyOutcome]:
        """Fold a page of the log, which may start at any offset."""
        outcomes: list[ApplyOutcome] = []
        if self._cursor == BEFORE_FIRST_OFFSET:
            self._begin(page)
        if page.first > self.next_offset:
            outcomes.append(self._start_gap(page.first))
        elif not self.is_complete:
            # More records have expired since the gap was detected.
            self._gap_end = max(self._gap_end, page.first)
        for record in page.records:
            if record.offset != self.next_offset:
                continue
            outcome = self._apply(record)
            if outcome is not None:
                outcomes.append(outcome)
        return outcomes

    def _apply(self, record: LogRecord) -> ApplyOutcome | None:
        if self.is_complete:
            return self._fold(record)
        self._cursor = record.offset
        decoded = decode_record(record.body)
        if not is_successful(decoded):
            return None
        return self._try_recover(record, decoded.unwrap())

    def _fold(self, record: LogRecord) -> FoldOutcome:
        self._recent.add(record)
        decoded = decode_record(record.body)
        if not is_successful(decoded):
            self._replace_state(skip_record(self._state, record))
            return Unchanged(decoded.failure())
        state, outcome = fold_record(self._state, record, decoded.unwrap())
        self._replace_state(state)
        if isinstance(outcome, Accepted):
            self._record_accepted(outcome.cfg.version, record.offset)
        return outcome

    def _begin(self, page: LogPage) -> None:
        """Begin at the first record of a stream that is in a later epoch."""
        if page.first > self.next_offset and not offset_in_epoch(page.first):
            before_first = page.first - 1
            self._replace_state(replace(self._state, last_offset=before_first))

    def _record_accepted(self, version: int, offset: int) -> None:
        self._accepted_offsets[version] = offset
        if len(self._accepted_offsets) > MAX_VERSIONS:
            self._accepted_offsets.pop(min(self._accepted_offsets))

    def _start_gap(self, first: int) -> RecordsLost:
        lost = RecordsLost(self.next_offset, first)
        self._gap_end = first
        self._cursor = first - 1
        return lost

    def _try_recover(
        self,
        log_record: LogRecord,
        record: ConfigurationRecord,
    ) -> ApplyOutcome | None:
        match record:
            case SnapshotRecord():
                return self._adopt_snapshot(log_record.offset, record)
            case Restoration():
                state, outcome = fold_record(self._state, log_record, record)
                if isinstance(outcome, Accepted):
                    self._replace_state(state)
                return outcome
        return None

    def _adopt_snapshot(
        self,
        offset: int,
        record: SnapshotRecord,
    ) -> ApplyOutcome | None:
        if not self._gap_end - 1 <= record.through < offset:
            return None
        state = restore_state(record)
        if not is_successful(state) or not self.adopt_state(state.unwrap()):
            return None
        # Records after those that the snapshot covers are read again.
        return StateAdopted(record.version, record.through)

    def _replace_state(self, state: FoldState) -> None:
        version = state.cfg.version
        check_invariant(
            Invariant.CONFIGURATION_MONOTONIC,
            version >= self.version,
            f'version {version} would replace version {self.version}',
        )
        self._state = state
        self._cursor = state.last_offset
