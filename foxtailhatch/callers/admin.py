"""Resources for operators, below ``/admin``."""

import hmac
import json
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Failure, Result, Success
from twisted.web.http import Request

from foxtailhatch.callers.async_reply import reply_later
from foxtailhatch.callers.base import ApiResource
from foxtailhatch.callers.listings import query_value
from foxtailhatch.callers.operations import (
    InvalidDocument,
    MarkRequest,
    Operations,
    PublishConflict,
    PublishRefusal,
    PublishRequest,
)
from foxtailhatch.callers.replies import (
    Reply,
    bearer_token,
    idempotency_key,
    json_reply,
    read_body,
    refusal_reply,
)
from foxtailhatch.callers.request_bodies import MAX_NAME_CHARS, parse_body
from foxtailhatch.core import ErrorCode, Mark, Refusal


class MarkBody(BaseModel):
    """Request body of ``/admin/marks``."""

    model_config = ConfigDict(strict=True, frozen=True, extra='forbid')

    instance: Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]
    mark: Mark


class AdminResource(ApiResource):
    """A resource that requires the operator key as bearer token."""

    def reply(self, req: Request) -> Reply | int:
        """Handle the request, or refuse it if it lacks the operator key."""
        refusal = self._refusal(req)
        if refusal is None:
            return super().reply(req)
        return refusal_reply(refusal)

    def operations(self) -> Operations:
        """Return the operator interface; requires that the key was checked."""
        assert self.context.operators is not None
        return self.context.operators.operations

    def _refusal(self, req: Request) -> Refusal | None:
        access = self.context.operators
        if access is None:
            message = 'This instance has no operator key in its settings.'
            return Refusal(ErrorCode.FORBIDDEN, message)
        token = bearer_token(req).value_or('')
        if hmac.compare_digest(token.encode(), access.key):
            return None
        return Refusal(ErrorCode.BAD_TOKEN, 'The operator key is required.')


class ConfigurationResource(AdminResource):
    """``/admin/configuration``: the configuration in force here."""

    def render_GET(self, req: Request) -> Reply:
        """Return the version and the document."""
        in_force = self.operations().configuration()
        if in_force is None:
            message = 'No configuration is in force here yet.'
            return refusal_reply(Refusal(ErrorCode.NO_CONFIGURATION, message))
        document = json.loads(in_force.document)
        return json_reply({'version': in_force.version, 'document': document})


class PublishResource(AdminResource):
    """``/admin/publish``: replace the configuration with the request body."""

    methods = (b'POST',)

    def render_POST(self, req: Request) -> Reply | int:
        """Publish, and return the version, the faults or the conflict."""
        parsed = Result.do(
            PublishRequest(read_body(req), version, publication_id)
            for version in _base_version(req)
            for publication_id in _operation_id(
                self.context.new_request_id(), req
            )
        )
        match parsed:
            case Success(publication):
                return reply_later(
                    self.context, req, self._publish(publication)
                )
            case Failure(refusal):
                return refusal_reply(refusal)
        raise AssertionError(parsed)

    async def _publish(self, publication: PublishRequest) -> Reply:
        match await self.operations().publish(publication):
            case Success(published):
                return json_reply({'version': published.version})
            case Failure(refusal):
                return _publish_refusal_reply(refusal)
        raise AssertionError(publication)


class MarksResource(AdminResource):
    """``/admin/marks``: mark an instance as joining, leaving or stopping."""

    methods = (b'POST',)

    def render_POST(self, req: Request) -> Reply | int:
        """Write the mark, and reply once it is in the log."""
        parsed = Result.do(
            MarkRequest(body.instance, body.mark, mark_id)
            for body in parse_body(MarkBody, read_body(req))
            for mark_id in _operation_id(self.context.new_request_id(), req)
        )
        match parsed:
            case Success(mark):
                return reply_later(self.context, req, self._mark(mark))
            case Failure(refusal):
                return refusal_reply(refusal)
        raise AssertionError(parsed)

    async def _mark(self, mark_request: MarkRequest) -> Reply:
        match await self.operations().mark(mark_request):
            case Success(_):
                document = {
                    'instance': mark_request.instance,
                    'mark': mark_request.mark.value,
                }
                return json_reply(document)
            case Failure(refusal):
                return refusal_reply(refusal)
        raise AssertionError(mark_request)


def _base_version(req: Request) -> Result[int, Refusal]:
    version = query_value(req, b'made_from')
    if version.isascii() and version.isdigit():
        return Success(int(version))
    message = (
        'The query must have made_from=VERSION, the version that was edited.'
    )
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))


def _operation_id(generated_id: str, req: Request) -> Result[str, Refusal]:
    return idempotency_key(req).map(lambda key: key or generated_id)


def _publish_refusal_reply(refusal: PublishRefusal) -> Reply:
    match refusal:
        case PublishConflict():
            return _conflict_reply(refusal)
        case InvalidDocument():
            return _faults_reply(refusal)
        case Refusal():
            return refusal_reply(refusal)


def _conflict_reply(conflict: PublishConflict) -> Reply:
    message = f'Version {conflict.in_force} is in force.'
    return refusal_reply(
        Refusal(ErrorCode.VERSION_CONFLICT, message),
        in_force=conflict.in_force,
        differences=[str(line) for line in conflict.differences],
    )


def _faults_reply(invalid: InvalidDocument) -> Reply:
    return refusal_reply(
        Refusal(ErrorCode.BAD_REQUEST, 'The configuration has faults.'),
        faults=[
            {'path': fault.path, 'message': fault.message}
            for fault in invalid.faults
        ],
    )
