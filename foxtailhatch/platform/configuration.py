"""Decode the routing configuration that operators write to the store."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.platform import names
from foxtailhatch.routes import (
    AcceleratorKind,
    Account,
    ClientLimits,
    Engine,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    ServiceShare,
)

MS_IN_S = 1000.0
BYTES_IN_MBIT = 125_000.0
DEFAULT_PRIORITY = 5
_ROUTE_KINDS = {
    'idempotent': RouteKind.REPEATABLE,
    'non_idempotent': RouteKind.AT_MOST_ONCE,
    'streaming': RouteKind.STREAM,
}


class _Document(BaseModel):
    """A platform document; unknown fields are ignored."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class _Share(_Document):
    service: str
    weight: float = 1.0


class _Route(_Document):
    name: str
    host: str
    path_prefix: str
    # Says whether requests may be repeated; in the record of an endpoint the
    # same name holds the accelerator kind.
    route_kind: str
    timeout_ms: float
    target_latency_ms: float
    target_gap_ms: float | None = None
    priority: int = DEFAULT_PRIORITY
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    service: str | None = None
    split: tuple[_Share, ...] = ()


class _AcceleratorKind(_Document):
    name: str
    size_mb: float
    # Factor on step times; in a load report the same name holds the current
    # slowdown.
    pace: float = 1.0
    read_factor: float = 1.0


class _TypicalTokens(_Document):
    # Mean token counts.
    prompt: float = 1000.0
    answer: float = 100.0


class _Model(_Document):
    name: str
    load_s: float = 10.0


class _Engine(_Document):
    slots: int
    kv_bytes: float
    layers: int = 0
    layer_mb: float = 0
    activation_bytes: float = 0
    # Rate of the link that all chains between zones share.
    pipe_mbps: float | None = None
    step_ms: float
    per_seq_ms: float = 0
    read_per_s: float = 1e5
    loads_at_once: int = 1
    models: tuple[_Model, ...] = ()
    kinds: tuple[_AcceleratorKind, ...] = ()
    usual: _TypicalTokens = _TypicalTokens()


class _Service(_Document):
    name: str
    health_path: str = '/healthz'
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(_Document):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(_Document):
    name: str
    api_keys: Annotated[tuple[str, ...], Field(default=())]
    priority: int | None = None


class _Configuration(_Document):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


def decode_configuration(raw: bytes) -> Result[RoutingConfiguration, str]:
    """Return the configuration, or a description of the invalid document."""
    try:
        document = _Configuration.model_validate_json(raw)
    except ValidationError as exc:
        return Failure(str(exc))
    tenants = document.tenants
    return Success(
        RoutingConfiguration(
            version=document.version,
            routes=tuple(_route(route) for route in document.routes),
            services=tuple(_service(service) for service in document.services),
            accounts=tuple(
                Account(tenant.name, tenant.api_keys, tenant.priority)
                for tenant in tenants or ()
            ),
            limits=_limits(document.limits),
            checks_keys=tenants is not None,
        )
    )


def _route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(share.service, share.weight) for share in route.split
    )
    if route.service is not None:
        shares = (ServiceShare(route.service, 1),)
    gap_ms = route.target_gap_ms
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        # Requests of an unknown kind might not be safe to repeat.
        kind=_ROUTE_KINDS.get(route.route_kind, RouteKind.AT_MOST_ONCE),
        timeout_s=route.timeout_ms / MS_IN_S,
        target_latency_s=route.target_latency_ms / MS_IN_S,
        max_gap_s=None if gap_ms is None else gap_ms / MS_IN_S,
        priority=route.priority,
        attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        shares=shares,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        service.name,
        service.health_path,
        service.max_conns,
        None if engine is None else _engine(engine),
    )


def _engine(engine: _Engine) -> Engine:
    loads_s = [model.load_s for model in engine.models]
    link_mbps = engine.pipe_mbps
    return Engine(
        slots=engine.slots,
        layer_count=engine.layers,
        max_stages=names.MAX_CHAIN_STAGES,
        layer_mb=engine.layer_mb,
        kv_bytes=engine.kv_bytes,
        activation_bytes=engine.activation_bytes,
        step_s=engine.step_ms / MS_IN_S,
        per_request_step_s=engine.per_seq_ms / MS_IN_S,
        prefill_tokens_per_s=engine.read_per_s,
        load_s=max(loads_s, default=0),
        loads_at_once=engine.loads_at_once,
        typical_prompt_tokens=engine.usual.prompt,
        typical_output_tokens=engine.usual.answer,
        accelerators={
            kind.name: AcceleratorKind(
                kind.size_mb, kind.pace, kind.read_factor
            )
            for kind in engine.kinds
        },
        zone_link_bytes_per_s=(
            None if link_mbps is None else link_mbps * BYTES_IN_MBIT
        ),
    )


def _limits(limits: _Limits) -> ClientLimits:
    return ClientLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / MS_IN_S,
        limits.idle_timeout_ms / MS_IN_S,
    )
