"""Folding the configuration stream, also when records of it were lost.

A reader is *complete* when it has folded every record up to ``through``.
When the log no longer keeps the record it wants, it may have missed a
publication.  It then keeps what it has in force, folds nothing, and reads on
only to find a snapshot that restates at least all that was lost.
"""

from dataclasses import dataclass, replace

from returns.pipeline import is_successful

from foxtailhatch.config.configuration import Configuration
from foxtailhatch.config.records import (
    ConfigurationRecord,
    Restoration,
    SnapshotRecord,
    decode_record,
)
from foxtailhatch.config.state import (
    Accepted,
    FoldOutcome,
    FoldState,
    Unchanged,
    fold_record,
    state_of,
)
from foxtailhatch.core import Invariant, Mark, require
from foxtailhatch.platform import LogPage, LogRecord

BEFORE_ALL = -1


@dataclass(frozen=True, slots=True)
class StateAdopted:
    """The state of a snapshot or of a peer took the place of an older one."""

    version: int
    through: int


@dataclass(frozen=True, slots=True)
class RecordsLost:
    """The records from ``wanted`` up to before ``first`` can't be read."""

    wanted: int
    first: int


TakeOutcome = FoldOutcome | StateAdopted | RecordsLost


class ConfigurationFold:
    """One reader of the configuration stream.

    Give it every page read from offset :attr:`wanted`, and the states that
    peers export.  What is in force only ever grows in version.
    """

    def __init__(self) -> None:
        """Start as a reader that knows nothing."""
        self._state = FoldState(BEFORE_ALL)
        self._cursor = BEFORE_ALL
        self._lost_below = 0

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
    def wanted(self) -> int:
        """Return the offset to read next."""
        return self._cursor + 1

    @property
    def complete(self) -> bool:
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

    def export(self) -> FoldState:
        """Return the state for peers and snapshots."""
        return self._state

    def adopt(self, state: FoldState) -> bool:
        """Take in a peer's state if it has folded more than this reader.

        All readers fold the same records in the same way, so the one that
        has folded further knows at least as much.
        """
        if state.through <= self._state.through:
            return False
        self._replace(state)
        return True

    def take_page(self, page: LogPage) -> list[TakeOutcome]:
        """Fold a page that was read from :attr:`wanted`."""
        outcomes: list[TakeOutcome] = []
        if page.first > self.wanted:
            outcomes.append(self._lose(page.first))
        for record in page.records:
            outcome = self._take(record)
            if outcome is not None:
                outcomes.append(outcome)
            if isinstance(outcome, StateAdopted):
                # The records after the snapshot's offset are read again.
                break
        return outcomes

    def _take(self, record: LogRecord) -> TakeOutcome | None:
        if record.offset <= self._cursor:
            return None
        decoded = decode_record(record.body)
        if not is_successful(decoded):
            return self._skip(record.offset, decoded.failure())
        if self.complete:
            return self._fold(record.offset, decoded.unwrap())
        self._cursor = record.offset
        return self._look_for_state(record.offset, decoded.unwrap())

    def _skip(self, offset: int, reason: str) -> FoldOutcome:
        if self.complete:
            self._replace(replace(self._state, through=offset))
        self._cursor = offset
        return Unchanged(reason)

    def _fold(self, offset: int, record: ConfigurationRecord) -> FoldOutcome:
        state, outcome = fold_record(self._state, offset, record)
        self._replace(state)
        return outcome

    def _lose(self, first: int) -> RecordsLost:
        lost = RecordsLost(self.wanted, first)
        self._lost_below = first
        self._cursor = first - 1
        return lost

    def _look_for_state(
        self,
        offset: int,
        record: ConfigurationRecord,
    ) -> TakeOutcome | None:
        match record:
            case SnapshotRecord():
                return self._adopt_snapshot(offset, record)
            case Restoration():
                state, outcome = fold_record(self._state, offset, record)
                if isinstance(outcome, Accepted):
                    self._replace(state)
                return outcome
        return None

    def _adopt_snapshot(
        self,
        offset: int,
        record: SnapshotRecord,
    ) -> TakeOutcome | None:
        restates = self._lost_below - 1 <= record.through < offset
        state = state_of(record)
        if not restates or not is_successful(state):
            return None
        if not self.adopt(state.unwrap()):
            return None
        return StateAdopted(record.version, record.through)

    def _replace(self, state: FoldState) -> None:
        version = state.cfg.version
        require(
            Invariant.CONFIGURATION_NEVER_REVERTS,
            version >= self.version,
            f'version {version} after {self.version}',
        )
        self._state = state
        self._cursor = state.through
