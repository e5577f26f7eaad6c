"""Publish a configuration and report the outcome."""

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
    """The publication was accepted as ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Another publication was accepted first.

    ``difference`` compares the configuration in force with the proposed one.
    """

    in_force: int
    difference: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """The document is not valid; nothing was appended."""

    faults: tuple[ConfigFault, ...]


@dataclass(frozen=True, slots=True)
class NotPublished:
    """No append reached the log, so nothing has changed."""


@dataclass(frozen=True, slots=True)
class PublicationUnknown:
    """The outcome is not known.

    A retry with the same publication id reports it and is never accepted
    twice.
    """

    publication_id: str


PublicationFailure = (
    Conflicted | InvalidConfiguration | NotPublished | PublicationUnknown
)


class PublicationAttempt:
    """A publication in progress, created by :func:`start_publication`."""

    def __init__(
        self,
        publication_id: str,
        proposed: Configuration,
        append: AppendAttempt,
    ) -> None:
        """Store the proposed configuration and the append that publishes it."""
        self.publication_id = publication_id
        self.proposed = proposed
        self.append = append

    def step(
        self,
        now: float,
        fold: ConfigurationFold,
    ) -> AppendRecord | Result[Published, PublicationFailure] | None:
        """Return the append to send, the outcome, or ``None`` to wait."""
        version = fold.decision(self.publication_id)
        match self.append.step(now, version is not None):
            case AppendStep.APPEND:
                return self.append.record
            case AppendStep.WAIT:
                return None
            case AppendStep.CONFIRMED:
                return self._confirmed_outcome(fold, version)
            case AppendStep.NOT_APPENDED:
                return Failure(NotPublished())
        return Failure(PublicationUnknown(self.publication_id))

    def _confirmed_outcome(
        self,
        fold: ConfigurationFold,
        version: int | None,
    ) -> Result[Published, PublicationFailure]:
        if version:
            return Success(Published(version))
        in_force = fold.export_state().cfg
        changed = diff_configurations(in_force, self.proposed)
        return Failure(Conflicted(in_force.version, changed))


def start_publication(
    now: float,
    fold: ConfigurationFold,
    raw: bytes,
    made_from: int,
    publication_id: str,
) -> Result[PublicationAttempt, PublicationFailure]:
    """Validate a document and start its publication.

    If ``publication_id`` has been decided already, the attempt reports that
    decision and appends nothing.
    """
    parsed = parse_configuration(raw, made_from + 1)
    if not is_successful(parsed):
        return Failure(InvalidConfiguration(parsed.failure()))
    proposed = parsed.unwrap()
    in_force = fold.export_state().cfg
    decided = fold.decision(publication_id) is not None
    if in_force.version > made_from and not decided:
        changed = diff_configurations(in_force, proposed)
        return Failure(Conflicted(in_force.version, changed))
    body = encode_record(_publication(in_force, proposed, publication_id))
    record = AppendRecord(CONFIGURATION_STREAM, body)
    append = AppendAttempt(record, now + PUBLISH_DEADLINE_S)
    return Success(PublicationAttempt(publication_id, proposed, append))


def _publication(
    in_force: Configuration,
    proposed: Configuration,
    publication_id: str,
) -> Publication:
    """Return the publication with the smaller document: changes or whole."""
    document = render_configuration(proposed)
    changes = render_changes(in_force, proposed)
    # Changes can be computed only against the version that the operator
    # edited, and this reader may lag behind it.
    is_up_to_date = in_force.version == proposed.version - 1
    whole = not is_up_to_date or len(document) <= len(changes)
    return Publication(
        proposed.version,
        proposed.version - 1,
        publication_id,
        document if whole else changes,
        whole,
    )
