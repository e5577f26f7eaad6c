"""The state folded from the configuration stream, as an immutable value."""

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
    """The state after all records up to and including ``last_offset``.

    ``decided`` maps the latest publication ids to the version that each
    became, or to :data:`REFUSED`.
    """

    last_offset: int
    cfg: Configuration = field(default_factory=lambda: Configuration(0))
    marks: Mapping[str, MarkRecord] = field(default_factory=dict)
    mark_ids: tuple[str, ...] = ()
    decided: Mapping[str, int] = field(default_factory=dict)
    coverage: Coverage = field(default_factory=Coverage)


def fold_record(
    state: FoldState,
    log_record: LogRecord,
    record: ConfigurationRecord,
) -> tuple[FoldState, FoldOutcome]:
    """Return the state after one more record, and the record's outcome."""
    state = skip_record(state, log_record)
    match record:
        case Publication():
            return _fold_publication(state, record)
        case MarkRecord():
            return _fold_mark(state, record)
        case Restoration():
            return _fold_restoration(state, record)
        case SnapshotRecord():
            coverage = state.coverage.after_snapshot(record.through)
            outcome = Unchanged('a snapshot repeats the folded state')
            return replace(state, coverage=coverage), outcome


def skip_record(state: FoldState, log_record: LogRecord) -> FoldState:
    """Return the state after a record that is counted but not applied."""
    coverage = state.coverage.add_record(log_record.offset, log_record.time)
    return replace(state, last_offset=log_record.offset, coverage=coverage)


def make_snapshot(state: FoldState) -> SnapshotRecord:
    """Return a snapshot of ``state``."""
    return SnapshotRecord(
        through=state.last_offset,
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
    """Return the state in a snapshot, or the faults of its document."""
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
            snapshot.coverage.assume_overdue(snapshot.through),
        ),
    )


def _fold_publication(
    state: FoldState,
    record: Publication,
) -> tuple[FoldState, FoldOutcome]:
    if record.publication_id in state.decided:
        return state, Unchanged('the publication has been decided already')
    parsed = _parse(state.cfg, record)
    is_next_version = record.made_from == state.cfg.version
    if is_next_version and record.version == record.made_from + 1:
        if isinstance(parsed, Success):
            return _put_into_force(
                state, record.publication_id, parsed.unwrap()
            )
    return _refuse(state, record, parsed)


def _parse(
    cfg: Configuration,
    record: Publication,
) -> Result[Configuration, tuple[ConfigFault, ...]]:
    """Return the configuration proposed by a publication, or its faults."""
    if record.whole:
        return parse_configuration(record.document, record.version)
    return apply_changes(cfg, record.document, record.version)


def _refuse(
    state: FoldState,
    record: Publication,
    parsed: Result[Configuration, tuple[ConfigFault, ...]],
) -> tuple[FoldState, FoldOutcome]:
    decided = _add_decision(state.decided, record.publication_id, REFUSED)
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
        return state, Unchanged(
            'the version of the restoration is not above the one in force'
        )
    parsed = parse_configuration(record.document, record.version)
    if not is_successful(parsed):
        return state, Unchanged('the document of the restoration is not valid')
    marks = {mark.instance: mark for mark in record.marks}
    state = replace(state, marks=marks)
    return _put_into_force(state, record.publication_id, parsed.unwrap())


def _put_into_force(
    state: FoldState,
    publication_id: str,
    cfg: Configuration,
) -> tuple[FoldState, FoldOutcome]:
    before = state.cfg.version
    check_invariant(
        Invariant.CONFIGURATION_MONOTONIC,
        cfg.version > before,
        f'version {cfg.version} would replace version {before}',
    )
    decided = _add_decision(state.decided, publication_id, cfg.version)
    state = replace(state, cfg=cfg, decided=decided)
    return state, Accepted(publication_id, cfg)


def _fold_mark(
    state: FoldState,
    record: MarkRecord,
) -> tuple[FoldState, FoldOutcome]:
    if record.mark_id in state.mark_ids:
        return state, Unchanged('the mark has been folded already')
    marks = dict(state.marks)
    marks.pop(record.instance, None)
    marks[record.instance] = record
    if len(marks) > MAX_MARKS:
        marks.pop(next(iter(marks)))
    mark_ids = (*state.mark_ids, record.mark_id)[-MAX_MARK_IDS:]
    return replace(state, marks=marks, mark_ids=mark_ids), Marked(record)


def _add_decision(
    decided: Mapping[str, int],
    publication_id: str,
    version: int,
) -> dict[str, int]:
    kept = [*decided.items(), (publication_id, version)]
    return dict(kept[-MAX_DECISIONS:])
