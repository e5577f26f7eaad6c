"""HTTP API of an entry, and the interfaces that it calls in the daemon."""

from foxtailhatch.callers.api_context import HttpLimits, Observability
from foxtailhatch.callers.gateway import (
    AnswerSink,
    EntryRecommendation,
    FinishReason,
    Gateway,
    GenerateRequest,
    ReachableModel,
    RunningAnswer,
    ServiceRequest,
)
from foxtailhatch.callers.operations import (
    ConfigurationInForce,
    InvalidDocument,
    MarkRequest,
    Operations,
    OperatorAccess,
    PublishConflict,
    PublishedVersion,
    PublishRefusal,
    PublishRequest,
)
from foxtailhatch.callers.site import build_site

__all__ = [
    'AnswerSink',
    'ConfigurationInForce',
    'EntryRecommendation',
    'InvalidDocument',
    'FinishReason',
    'HttpLimits',
    'Gateway',
    'GenerateRequest',
    'MarkRequest',
    'Observability',
    'Operations',
    'OperatorAccess',
    'PublishConflict',
    'PublishRefusal',
    'PublishRequest',
    'PublishedVersion',
    'ReachableModel',
    'RunningAnswer',
    'ServiceRequest',
    'build_site',
]
