"""Factories of routing configurations for tests."""

from foxtailhatch.routes import (
    AcceleratorKind,
    ClientLimits,
    Engine,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    ServiceShare,
)

LIMITS = ClientLimits(16_384, 1_000, 3, 15)
ENGINE = Engine(
    slots=96,
    layer_count=80,
    max_stages=32,
    layer_mb=1750,
    kv_bytes=852_000,
    activation_bytes=42_600,
    step_s=0.00085,
    per_request_step_s=0.0000055,
    prefill_tokens_per_s=272_000,
    load_s=14,
    loads_at_once=6,
    typical_prompt_tokens=772,
    typical_output_tokens=145,
    accelerators={
        'large': AcceleratorKind(36_000, 3.1, 3.2),
        'middle': AcceleratorKind(21_600, 16, 8.2),
        'small': AcceleratorKind(14_400, 15, 15),
    },
)
MODEL = Service('model', '/healthz', 100, ENGINE)
PLAIN = Service('plain', '/healthz', 100, None)


def route(
    name='r',
    prefix='/',
    kind=RouteKind.REPEATABLE,
    service='plain',
    attempts=2,
    resumable=False,
    public=False,
    timeout_s=10.0,
):
    return Route(
        name=name,
        host='host.example',
        prefix=prefix,
        kind=kind,
        timeout_s=timeout_s,
        target_latency_s=0.5,
        max_gap_s=0.2,
        priority=1,
        attempts=attempts,
        is_public=public,
        is_resumable=resumable,
        shares=(ServiceShare(service, 1),),
    )


def configuration(
    version=1,
    routes=(),
    accounts=(),
    services=(MODEL, PLAIN),
    checks_keys=True,
):
    return RoutingConfiguration(
        version,
        tuple(routes),
        tuple(services),
        tuple(accounts),
        LIMITS,
        checks_keys,
    )
