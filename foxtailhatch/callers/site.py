"""Resource tree of the HTTP API for callers, operators and monitoring."""

import random
import time
from collections.abc import Mapping
from functools import partial
from typing import Any, cast
from uuid import UUID

from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import Site

from foxtailhatch.callers.admin import (
    ConfigurationResource,
    MarksResource,
    PublishResource,
)
from foxtailhatch.callers.answers import ChatResource, CompletionResource
from foxtailhatch.callers.api_context import (
    ApiContext,
    HttpLimits,
    Observability,
)
from foxtailhatch.callers.base import UnknownPath
from foxtailhatch.callers.channel import CallerChannel
from foxtailhatch.callers.connections import CallerConnections
from foxtailhatch.callers.gateway import Gateway
from foxtailhatch.callers.limited_request import LimitedRequest
from foxtailhatch.callers.listings import (
    EntryResource,
    HealthResource,
    MetricsResource,
    ModelsResource,
    ReadyResource,
    StatusResource,
    TimelineResource,
)
from foxtailhatch.callers.operations import OperatorAccess
from foxtailhatch.callers.services import ServicesResource
from foxtailhatch.callers.tokens import ByteTokenizer
from foxtailhatch.core.reactor_clock import ReactorClock

REQUEST_ID_BITS = 128


class ApiSite(Site):
    """A site without an access log."""

    def __init__(
        self,
        root: Resource,
        context: ApiContext,
        connections: CallerConnections,
    ) -> None:
        """Serve ``root`` with the request limits of ``context``."""
        Site.__init__(
            self,
            root,
            requestFactory=partial(LimitedRequest, context),
            reactor=context.clock,
            parsePOSTFormSubmission=False,
        )
        # The attribute's declared type names only Twisted's own channels.
        site: Any = self
        site.protocol = partial(CallerChannel, connections, context.clock)

    def log(self, request: Request) -> None:
        """Write no log line; requests are counted in the metrics."""


def build_site(
    gateway: Gateway,
    observability: Observability,
    limits: HttpLimits,
    clock: ReactorClock,
    connections: CallerConnections,
    operators: OperatorAccess | None = None,
) -> Site:
    """Return the site; ``clock`` is the reactor that serves it."""
    context = ApiContext(
        gateway=gateway,
        observability=observability,
        limits=limits,
        tokenizer=ByteTokenizer(),
        clock=clock,
        wall_time=time.time,
        new_request_id=random_request_id,
        operators=operators,
    )
    return ApiSite(_root_resource(context), context, connections)


def random_request_id() -> str:
    """Return a random id, unique among all instances."""
    return UUID(int=random.SystemRandom().getrandbits(REQUEST_ID_BITS)).hex


def _root_resource(context: ApiContext) -> Resource:
    children = {
        b'v1': _callers_resource(context),
        b'admin': _operators_resource(context),
        b'healthz': HealthResource(context),
        b'readyz': ReadyResource(context),
        b'metrics': MetricsResource(context),
        b'timeline': TimelineResource(context),
        b'status': StatusResource(context),
    }
    return _branch(context, children)


def _callers_resource(context: ApiContext) -> Resource:
    children = {
        b'chat': _branch(context, {b'completions': ChatResource(context)}),
        b'completions': CompletionResource(context),
        b'models': ModelsResource(context),
        b'services': ServicesResource(context),
        b'entry': EntryResource(context),
    }
    return _branch(context, children)


def _operators_resource(context: ApiContext) -> Resource:
    children = {
        b'configuration': ConfigurationResource(context),
        b'publish': PublishResource(context),
        b'marks': MarksResource(context),
    }
    return _branch(context, children)


def _branch(
    context: ApiContext, children: Mapping[bytes, Resource]
) -> Resource:
    branch = UnknownPath(context)
    for name, child in children.items():
        # Resource gets its zope interface at run time, unseen by type checkers.
        branch.putChild(name, cast(Any, child))
    return branch
