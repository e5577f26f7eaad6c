"""Publishing a configuration and learning what became of it."""

from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from foxtailhatch.config.changes import render_changes
from foxtailhatch.config.configuration import Configuration
from foxtailhatch.config.diff import Difference, diff_configurations
from foxtailhatch.config.documents import (
    parse_configuration,
    render_configuration,
)
from foxtailhatch.config.fold import ConfigurationFold
from foxtailhatch.config.records import (
    CONFIGURATION_STREAM,
    Publication,
    encode_record,
)
from foxtailhatch.config.references import ConfigFault
from foxtailhatch.durable.append_attempt import (
    AppendAttempt,
    AppendRecord,
    AppendStep,
)

PUBLISH_DEADLINE_S = 30.0


@dataclass(frozen=True, slots=True)
class Published:
    """The publication is in force as ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Another publication came first; ``difference`` is against it."""

    in_force: int
    difference: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """The document has faults; nothing was appended."""

    faults: tuple[ConfigFault, ...]


@dataclass(frozen=True, slots=True)
class NotPublished:
    """The log was never reached, so nothing can have changed."""


@dataclass(frozen=True, slots=True)
class PublicationUnknown:
    """The log has not told yet; ask again with the same publication id."""

    publication_id: str


PublicationFailure = (
    Conflicted | InvalidConfiguration | NotPublished | PublicationUnknown
)


class PublicationAttempt:
    """One publication on its way, started by :func:`start_publication`."""

    def __init__(
        self,
        publication_id: str,
        wanted: Configuration,
        append: AppendAttempt,
    ) -> None:
        """Keep what the operator wants and the append that carries it."""
        self.publication_id = publication_id
        self.wanted = wanted
        self.append = append

    def step(
        self,
        now: float,
        fold: ConfigurationFold,
    ) -> AppendRecord | Result[Published, PublicationFailure] | None:
        """Return an append to make, the outcome, or ``None`` to wait."""
        version = fold.decision(self.publication_id)
        match self.append.step(now, version is not None):
            case AppendStep.APPEND:
                return self.append.record
            case AppendStep.WAIT:
                return None
            case AppendStep.CONFIRMED:
                return self._settled(fold, version)
            case AppendStep.NOT_APPENDED:
                return Failure(NotPublished())
        return Failure(PublicationUnknown(self.publication_id))

    def _settled(
        self,
        fold: ConfigurationFold,
        version: int | None,
    ) -> Result[Published, PublicationFailure]:
        if version:
            return Success(Published(version))
        in_force = fold.export_state().cfg
        changed = diff_configurations(in_force, self.wanted)
        return Failure(Conflicted(in_force.version, changed))


def start_publication(
    now: float,
    fold: ConfigurationFold,
    raw: bytes,
    made_from: int,
    publication_id: str,
) -> Result[PublicationAttempt, PublicationFailure]:
    """Check a document and start publishing it.

    An id that was decided before may be given again with the same document:
    its first decision is told and nothing is appended.
    """
    parsed = parse_configuration(raw, made_from + 1)
    if not is_successful(parsed):
        return Failure(InvalidConfiguration(parsed.failure()))
    wanted = parsed.unwrap()
    in_force = fold.export_state().cfg
    decided = fold.decision(publication_id) is not None
    if in_force.version > made_from and not decided:
        changed = diff_configurations(in_force, wanted)
        return Failure(Conflicted(in_force.version, changed))
    body = encode_record(_publication(in_force, wanted, publication_id))
    record = AppendRecord(CONFIGURATION_STREAM, body)
    append = AppendAttempt(record, now + PUBLISH_DEADLINE_S)
    return Success(PublicationAttempt(publication_id, wanted, append))


def _publication(
    in_force: Configuration,
    wanted: Configuration,
    publication_id: str,
) -> Publication:
    """Return the smaller of the changes and the whole document."""
    document = render_configuration(wanted)
    changes = render_changes(in_force, wanted)
    # This reader may lag behind the version that the operator started from.
    known = in_force.version == wanted.version - 1
    whole = not known or len(document) <= len(changes)
    return Publication(
        wanted.version,
        wanted.version - 1,
        publication_id,
        document if whole else changes,
        whole,
    )
