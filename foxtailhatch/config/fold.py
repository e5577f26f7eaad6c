"""Folding the configuration stream, also when records of it were lost.

A reader is *complete* when it has folded every record up to ``through``.
When the log no longer keeps the record it wants, it may have missed a
publication.  It then keeps what it has in force, folds nothing, and reads on
only to find a snapshot that restates at least all that was lost.
"""

from collections.abc import Iterable
from dataclasses import dataclass

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

BEFORE_ALL = -1
MAX_VERSIONS = 200


@dataclass(frozen=True, slots=True)
class StateAdopted:
    """The state of a snapshot or of a peer took the place of an older one."""

    version: int
    through: int


@dataclass(frozen=True, slots=True)
class RecordsLost:
    """The records from ``next_offset`` up to before ``first`` can't be read."""

    next_offset: int
    first: int


ApplyOutcome = FoldOutcome | StateAdopted | RecordsLost


class ConfigurationFold:
    """One reader of the configuration stream.

    Give it every page read from offset :attr:`next_offset`, and the records and
    states that peers pass on.  What is in force only ever grows in version.
    """

    def __init__(self) -> None:
        """Start as a reader that knows nothing."""
        self._state = FoldState(BEFORE_ALL)
        self._cursor = BEFORE_ALL
        self._lost_below = 0
        self._recent = RecentRecords()
        self._accepted_at: dict[int, int] = {0: BEFORE_ALL}

    @property
    def in_force(self) -> Configuration | None:
        """Return the configuration in force, if one is known."""
        return self._state.cfg if self._state.cfg.version else None

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._state.cfg.version

    @property
    def through(self) -> int:
        """Return the offset of the last folded record."""
        return self._state.through

    @property
    def next_offset(self) -> int:
        """Return the offset to read next."""
        return self._cursor + 1

    @property
    def is_complete(self) -> bool:
        """Tell whether no record is known to be missed."""
        return self._state.through + 1 >= self._lost_below

    @property
    def marks(self) -> dict[str, Mark]:
        """Return the mark that counts for each marked instance."""
        marks = self._state.marks
        return {name: record.mark for name, record in marks.items()}

    def decision(self, publication_id: str) -> int | None:
        """Return the version an id became, 0 if refused, else ``None``."""
        return self._state.decided.get(publication_id)

    def export_state(self) -> FoldState:
        """Return the state for peers and snapshots."""
        return self._state

    def records_after(self, offset: int) -> tuple[LogRecord, ...] | None:
        """Return what a peer that folded up to ``offset`` lacks.

        ``None`` says that it needs the whole state of :meth:`export_state`.
        """
        if offset >= self.through:
            return ()
        return self._recent.after(offset)

    def records_since(self, version: int) -> tuple[LogRecord, ...] | None:
        """Return what a peer may lack that has ``version`` in force."""
        if version >= self.version:
            return ()
        offset = self._accepted_at.get(version)
        return None if offset is None else self._recent.after(offset)

    def adopt_state(self, state: FoldState) -> bool:
        """Take in a peer's state if it has folded more than this reader.

        All readers fold the same records in the same way, so the one that
        has folded further knows at least as much.
        """
        if state.through <= self.through:
            return False
        self._replace(state)
        return True

    def apply_records(self, records: Iterable[LogRecord]) -> list[FoldOutcome]:
        """Fold records that a peer passed on; they must follow directly."""
        outcomes: list[FoldOutcome] = []
        for record in records:
            if record.offset == self.through + 1:
                outcomes.append(self._fold(record))
        return outcomes

    def apply_page(self, page: LogPage) -> list[ApplyOutcome]:
        """Fold a page of the log, whichever offset it was read from."""
        outcomes: list[ApplyOutcome] = []
        if page.first > self.next_offset:
            outcomes.append(self._lose(page.first))
        elif not self.is_complete:
            # More has expired since the gap was met.
            self._lost_below = max(self._lost_below, page.first)
        for record in page.records:
            if record.offset != self.next_offset:
                continue
            outcome = self._take(record)
            if outcome is not None:
                outcomes.append(outcome)
        return outcomes

    def _take(self, record: LogRecord) -> ApplyOutcome | None:
        if self.is_complete:
            return self._fold(record)
        self._cursor = record.offset
        decoded = decode_record(record.body)
        if not is_successful(decoded):
            return None
        return self._look_for_state(record, decoded.unwrap())

    def _fold(self, record: LogRecord) -> FoldOutcome:
        self._recent.add(record)
        decoded = decode_record(record.body)
        if not is_successful(decoded):
            self._replace(skip_record(self._state, record))
            return Unchanged(decoded.failure())
        state, outcome = fold_record(self._state, record, decoded.unwrap())
        self._replace(state)
        if isinstance(outcome, Accepted):
            self._note_accepted(outcome.cfg.version, record.offset)
        return outcome

    def _note_accepted(self, version: int, offset: int) -> None:
        self._accepted_at[version] = offset
        if len(self._accepted_at) > MAX_VERSIONS:
            self._accepted_at.pop(min(self._accepted_at))

    def _lose(self, first: int) -> RecordsLost:
        lost = RecordsLost(self.next_offset, first)
        self._lost_below = first
        self._cursor = first - 1
        return lost

    def _look_for_state(
        self,
        logged: LogRecord,
        record: ConfigurationRecord,
    ) -> ApplyOutcome | None:
        match record:
            case SnapshotRecord():
                return self._adopt_snapshot(logged.offset, record)
            case Restoration():
                state, outcome = fold_record(self._state, logged, record)
                if isinstance(outcome, Accepted):
                    self._replace(state)
                return outcome
        return None

    def _adopt_snapshot(
        self,
        offset: int,
        record: SnapshotRecord,
    ) -> ApplyOutcome | None:
        if not self._lost_below - 1 <= record.through < offset:
            return None
        state = restore_state(record)
        if not is_successful(state) or not self.adopt_state(state.unwrap()):
            return None
        # The records after the snapshot's offset are read again.
        return StateAdopted(record.version, record.through)

    def _replace(self, state: FoldState) -> None:
        version = state.cfg.version
        check_invariant(
            Invariant.CONFIGURATION_MONOTONIC,
            version >= self.version,
            f'version {version} after {self.version}',
        )
        self._state = state
        self._cursor = state.through
