"""What the configuration stream folds to, as an immutable value."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from foxtailhatch.config.changes import apply_changes
from foxtailhatch.config.configuration import Configuration
from foxtailhatch.config.coverage import Coverage
from foxtailhatch.config.diff import diff_configurations
from foxtailhatch.config.documents import (
    parse_configuration,
    render_configuration,
)
from foxtailhatch.config.outcomes import (
    Accepted,
    FoldOutcome,
    Marked,
    Refused,
    Unchanged,
)
from foxtailhatch.config.records import (
    ConfigurationRecord,
    MarkRecord,
    Publication,
    Restoration,
    SnapshotRecord,
)
from foxtailhatch.config.references import ConfigFault
from foxtailhatch.core import Invariant, check_invariant
from foxtailhatch.outside import LogRecord

MAX_MARKS = 5000
MAX_MARK_IDS = 500
MAX_DECISIONS = 200
REFUSED = 0


@dataclass(frozen=True, slots=True)
class FoldState:
    """What all records up to offset ``through`` fold to.

    ``decided`` maps the newest publication ids to the version that they
    became, or to :data:`REFUSED`.
    """

    through: int
    cfg: Configuration = field(default_factory=lambda: Configuration(0))
    marks: Mapping[str, MarkRecord] = field(default_factory=dict)
    mark_ids: tuple[str, ...] = ()
    decided: Mapping[str, int] = field(default_factory=dict)
    coverage: Coverage = field(default_factory=Coverage)


def fold_record(
    state: FoldState,
    logged: LogRecord,
    record: ConfigurationRecord,
) -> tuple[FoldState, FoldOutcome]:
    """Return the state after one more record, and what the record did."""
    state = skip_record(state, logged)
    match record:
        case Publication():
            return _fold_publication(state, record)
        case MarkRecord():
            return _fold_mark(state, record)
        case Restoration():
            return _fold_restoration(state, record)
        case SnapshotRecord():
            coverage = state.coverage.restated(record.through)
            outcome = Unchanged('A snapshot restates what is known.')
            return replace(state, coverage=coverage), outcome


def skip_record(state: FoldState, logged: LogRecord) -> FoldState:
    """Return the state after a record that decides nothing."""
    coverage = state.coverage.logged(logged.offset, logged.time)
    return replace(state, through=logged.offset, coverage=coverage)


def make_snapshot(state: FoldState) -> SnapshotRecord:
    """Return the snapshot that restates ``state``."""
    return SnapshotRecord(
        through=state.through,
        version=state.cfg.version,
        document=zlib.compress(render_configuration(state.cfg)),
        marks=tuple(state.marks.values()),
        mark_ids=state.mark_ids,
        decided=tuple(state.decided.items()),
        coverage=state.coverage,
    )


def restore_state(
    snapshot: SnapshotRecord,
) -> Result[FoldState, tuple[ConfigFault, ...]]:
    """Return the state that a snapshot restates."""
    try:
        document = zlib.decompress(snapshot.document)
    except zlib.error as exc:
        return Failure((ConfigFault('$', str(exc)),))
    return parse_configuration(document, snapshot.version).map(
        lambda cfg: FoldState(
            snapshot.through,
            cfg,
            {record.instance: record for record in snapshot.marks},
            snapshot.mark_ids,
            dict(snapshot.decided),
            snapshot.coverage.known_up_to(snapshot.through),
        ),
    )


def _fold_publication(
    state: FoldState,
    record: Publication,
) -> tuple[FoldState, FoldOutcome]:
    if record.publication_id in state.decided:
        return state, Unchanged('The publication was decided before.')
    parsed = _parse(state.cfg, record)
    in_turn = record.made_from == state.cfg.version
    if in_turn and record.version == record.made_from + 1:
        if isinstance(parsed, Success):
            return _put_in_force(state, record.publication_id, parsed.unwrap())
    return _refuse(state, record, parsed)


def _parse(
    cfg: Configuration,
    record: Publication,
) -> Result[Configuration, tuple[ConfigFault, ...]]:
    """Return what the publication leads to from ``cfg``, if it is sound."""
    if record.whole:
        return parse_configuration(record.document, record.version)
    return apply_changes(cfg, record.document, record.version)


def _refuse(
    state: FoldState,
    record: Publication,
    parsed: Result[Configuration, tuple[ConfigFault, ...]],
) -> tuple[FoldState, FoldOutcome]:
    decided = _newest(state.decided, record.publication_id, REFUSED)
    refused = Refused(
        record.publication_id,
        record.made_from,
        state.cfg.version,
    )
    if is_successful(parsed):
        changed = diff_configurations(state.cfg, parsed.unwrap())
        refused = replace(refused, difference=changed)
    else:
        refused = replace(refused, faults=parsed.failure())
    return replace(state, decided=decided), refused


def _fold_restoration(
    state: FoldState,
    record: Restoration,
) -> tuple[FoldState, FoldOutcome]:
    if record.version <= state.cfg.version:
        return state, Unchanged('The restoration is not above what is known.')
    parsed = parse_configuration(record.document, record.version)
    if not is_successful(parsed):
        return state, Unchanged('The restored document is faulty.')
    marks = {mark.instance: mark for mark in record.marks}
    state = replace(state, marks=marks)
    return _put_in_force(state, record.publication_id, parsed.unwrap())


def _put_in_force(
    state: FoldState,
    publication_id: str,
    cfg: Configuration,
) -> tuple[FoldState, FoldOutcome]:
    before = state.cfg.version
    check_invariant(
        Invariant.CONFIGURATION_MONOTONIC,
        cfg.version > before,
        f'version {cfg.version} after {before}',
    )
    decided = _newest(state.decided, publication_id, cfg.version)
    state = replace(state, cfg=cfg, decided=decided)
    return state, Accepted(publication_id, cfg)


def _fold_mark(
    state: FoldState,
    record: MarkRecord,
) -> tuple[FoldState, FoldOutcome]:
    if record.mark_id in state.mark_ids:
        return state, Unchanged('The mark was folded before.')
    marks = dict(state.marks)
    marks.pop(record.instance, None)
    marks[record.instance] = record
    if len(marks) > MAX_MARKS:
        marks.pop(next(iter(marks)))
    mark_ids = (*state.mark_ids, record.mark_id)[-MAX_MARK_IDS:]
    return replace(state, marks=marks, mark_ids=mark_ids), Marked(record)


def _newest(
    decided: Mapping[str, int],
    publication_id: str,
    version: int,
) -> dict[str, int]:
    kept = [*decided.items(), (publication_id, version)]
    return dict(kept[-MAX_DECISIONS:])
