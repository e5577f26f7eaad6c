"""The tree of paths that callers, operators and monitoring see."""

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
    """A site that writes no log line for each request."""

    def __init__(self, root: Resource, context: ApiContext) -> None:
        """Serve ``root`` within the limits of ``front``."""
        Site.__init__(
            self,
            root,
            requestFactory=partial(LimitedRequest, context),
            reactor=context.clock,
            parsePOSTFormSubmission=False,
        )

    def log(self, request: Request) -> None:
        """Leave requests to the counters."""


def build_site(
    gateway: Gateway,
    observability: Observability,
    limits: HttpLimits,
    clock: ReactorClock,
    operators: OperatorAccess | None = None,
) -> Site:
    """Return the site; ``clock`` is the reactor that will listen with it."""
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
    return build_context_site(context)


def build_context_site(context: ApiContext) -> Site:
    """Return the site over everything that ``front`` names."""
    return ApiSite(_root(context), context)


def random_request_id() -> str:
    """Return a new id that no other instance gives out."""
    return UUID(int=random.SystemRandom().getrandbits(REQUEST_ID_BITS)).hex


def _root(context: ApiContext) -> Resource:
    children = {
        b'v1': _callers_branch(context),
        b'admin': _operators_branch(context),
        b'healthz': HealthResource(context),
        b'readyz': ReadyResource(context),
        b'metrics': MetricsResource(context),
        b'timeline': TimelineResource(context),
        b'status': StatusResource(context),
    }
    return _branch(context, children)


def _callers_branch(context: ApiContext) -> Resource:
    children = {
        b'chat': _branch(context, {b'completions': ChatResource(context)}),
        b'completions': CompletionResource(context),
        b'models': ModelsResource(context),
        b'services': ServicesResource(context),
        b'entry': EntryResource(context),
    }
    return _branch(context, children)


def _operators_branch(context: ApiContext) -> Resource:
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
        # Resources are adapted to their interface at run time only.
        branch.putChild(name, cast(Any, child))
    return branch
