"""Operator requests: publish a configuration, mark an instance."""

import asyncio

from returns.result import Failure, Result, Success

from foxtailhatch.callers.operations import (
    ConfigurationInForce,
    InvalidDocument,
    MarkRequest,
    PublishConflict,
    PublishedVersion,
    PublishRefusal,
    PublishRequest,
)
from foxtailhatch.config import render_configuration
from foxtailhatch.config.publisher import (
    Conflicted,
    InvalidConfiguration,
    NotPublished,
    PublicationFailure,
)
from foxtailhatch.core import ErrorCode, Refusal, RunState
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.outside import PlatformFault

LOG_RETRY_S = 2.0

NOT_PUBLISHED = Refusal(
    ErrorCode.LOG_UNAVAILABLE,
    'The log cannot be reached; nothing was changed.',
    RunState.NOT_RUN,
    LOG_RETRY_S,
)
MAYBE_PUBLISHED = Refusal(
    ErrorCode.OUTCOME_UNKNOWN,
    'The log has not answered yet; try again with the same id.',
    RunState.UNKNOWN,
    LOG_RETRY_S,
)


class EntryOperations:
    """Carry out operator requests at this entry."""

    def __init__(
        self,
        board: Blackboard,
        configuration: ConfigurationLoop,
    ) -> None:
        """Keep the state and the loop that publishes."""
        self._board = board
        self._configuration = configuration

    async def publish(
        self,
        req: PublishRequest,
    ) -> Result[PublishedVersion, PublishRefusal]:
        """Publish a document; return once it is accepted or rejected."""
        published = await self._configuration.publish(
            req.document,
            req.made_from,
            req.publication_id,
        )
        if isinstance(published, Success):
            return Success(PublishedVersion(published.unwrap().version))
        return Failure(_refusal(published.failure()))

    def configuration(self) -> ConfigurationInForce | None:
        """Return the configuration in force on this instance, if any."""
        cfg = self._board.fold.in_force
        if cfg is None:
            return None
        return ConfigurationInForce(cfg.version, render_configuration(cfg))

    async def mark(self, req: MarkRequest) -> Result[None, Refusal]:
        """Mark an instance; return once the mark is in the log."""
        marked = await asyncio.shield(self._configuration.mark(req))
        if isinstance(marked, Success):
            return Success(None)
        if marked.failure().fault is PlatformFault.UNREACHABLE:
            return Failure(NOT_PUBLISHED)
        return Failure(MAYBE_PUBLISHED)


def _refusal(failure: PublicationFailure) -> PublishRefusal:
    match failure:
        case Conflicted(in_force, difference):
            return PublishConflict(in_force, difference)
        case InvalidConfiguration(faults):
            return InvalidDocument(faults)
        case NotPublished():
            return NOT_PUBLISHED
    return MAYBE_PUBLISHED
