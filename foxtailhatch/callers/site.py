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
from foxtailhatch.callers.base import UnknownPath
from foxtailhatch.callers.front import Front, FrontLimits, Observability
from foxtailhatch.callers.gateway import Gateway
from foxtailhatch.callers.intake import IntakeRequest
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


class FrontSite(Site):
    """A site that writes no log line for each request."""

    def __init__(self, root: Resource, front: Front) -> None:
        """Serve ``root`` within the limits of ``front``."""
        Site.__init__(
            self,
            root,
            requestFactory=partial(IntakeRequest, front),
            reactor=front.clock,
            parsePOSTFormSubmission=False,
        )

    def log(self, request: Request) -> None:
        """Leave requests to the counters."""


def build_site(
    gateway: Gateway,
    observability: Observability,
    limits: FrontLimits,
    clock: ReactorClock,
    operators: OperatorAccess | None = None,
) -> Site:
    """Return the site; ``clock`` is the reactor that will listen with it."""
    front = Front(
        gateway=gateway,
        observability=observability,
        limits=limits,
        tokenizer=ByteTokenizer(),
        clock=clock,
        wall_time=time.time,
        new_request_id=random_request_id,
        operators=operators,
    )
    return site_of(front)


def site_of(front: Front) -> Site:
    """Return the site over everything that ``front`` names."""
    return FrontSite(_root(front), front)


def random_request_id() -> str:
    """Return a new id that no other instance gives out."""
    return UUID(int=random.SystemRandom().getrandbits(REQUEST_ID_BITS)).hex


def _root(front: Front) -> Resource:
    children = {
        b'v1': _callers_branch(front),
        b'admin': _operators_branch(front),
        b'healthz': HealthResource(front),
        b'readyz': ReadyResource(front),
        b'metrics': MetricsResource(front),
        b'timeline': TimelineResource(front),
        b'status': StatusResource(front),
    }
    return _branch(front, children)


def _callers_branch(front: Front) -> Resource:
    children = {
        b'chat': _branch(front, {b'completions': ChatResource(front)}),
        b'completions': CompletionResource(front),
        b'models': ModelsResource(front),
        b'services': ServicesResource(front),
        b'entry': EntryResource(front),
    }
    return _branch(front, children)


def _operators_branch(front: Front) -> Resource:
    children = {
        b'configuration': ConfigurationResource(front),
        b'publish': PublishResource(front),
        b'marks': MarksResource(front),
    }
    return _branch(front, children)


def _branch(front: Front, children: Mapping[bytes, Resource]) -> Resource:
    branch = UnknownPath(front)
    for name, child in children.items():
        # Resources are adapted to their interface at run time only.
        branch.putChild(name, cast(Any, child))
    return branch
