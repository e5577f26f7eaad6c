"""What layouts carry, from a model of capacity: ``python -m bench.layouts``.

For the accelerators of each zone of a deployment, one line of JSON compares
the layout over all accelerators with that over the working set.  A zone
carries the least of the requests that its chain heads admit and of those whose
KV cache fits, divided by the time of an answer.
"""

import json
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass

import click

from foxtailhatch.placement import Accelerator
from foxtailhatch.placement.layout import (
    Placement,
    lay_out,
    min_kv_capacity,
)
from foxtailhatch.placement.replicas import ModelReplicas
from foxtailhatch.placement.working_set import AcceleratorPool, working_set
from foxtailhatch.routes import AcceleratorKind, Engine

# Time that a token waits at stages for other work, relative to its steps.
WAITING_SHARE = 0.5
MS_IN_S = 1000
PIPELINE_KINDS = {
    'large': AcceleratorKind(36_000, 3.1, 3.2),
    'middle': AcceleratorKind(21_600, 16, 8.2),
    'small': AcceleratorKind(14_400, 15, 15),
}
MIXED_KINDS = {
    'fast': AcceleratorKind(72_000, 2.4, 3.2),
    'medium': AcceleratorKind(14_400, 5.3, 7.9),
    'slow': AcceleratorKind(21_600, 16, 8.2),
}


@dataclass(frozen=True, slots=True)
class Deployment:
    """An engine, and the number of accelerators of each kind in each zone."""

    name: str
    engine: Engine
    zones: Sequence[Sequence[int]]


@dataclass(frozen=True, slots=True)
class Capacity:
    """What a layout of a zone carries, with answers of usual length."""

    accelerators: int
    replicas: int
    step_factor: float
    answer_s: float
    kv_requests: int
    admitted: int
    requests_per_s: float


def engine_of(
    kinds: Mapping[str, AcceleratorKind],
    kv_bytes: float,
    step_ms: float,
    output_tokens: int,
) -> Engine:
    """Return an engine for 80 layers of 1,750 MB and 96 requests."""
    return Engine(
        slots=96,
        layer_count=80,
        max_stages=32,
        layer_mb=1750,
        kv_bytes=kv_bytes,
        activation_bytes=0,
        step_s=step_ms / MS_IN_S,
        per_request_step_s=0,
        prefill_tokens_per_s=0,
        load_s=14,
        loads_at_once=6,
        typical_prompt_tokens=775,
        typical_output_tokens=output_tokens,
        accelerators=kinds,
    )


DEPLOYMENTS = (
    Deployment(
        'uniform, 38 accelerators',
        engine_of(PIPELINE_KINDS, 1_700_000, 0.85, 146),
        ((2, 5, 8), (1, 7, 5), (2, 3, 5)),
    ),
    Deployment(
        'uniform, 99 accelerators',
        engine_of(PIPELINE_KINDS, 1_700_000, 0.85, 138),
        ((2, 13, 22), (1, 22, 12), (4, 9, 14)),
    ),
    Deployment(
        'uniform, 218 accelerators',
        engine_of(PIPELINE_KINDS, 786_000, 0.85, 138),
        ((3, 16, 28), (2, 27, 16), (5, 11, 19), (3, 16, 28), (2, 27, 15)),
    ),
    Deployment(
        'mixed, 38 accelerators',
        engine_of(MIXED_KINDS, 1_180_000, 1.02, 216),
        ((1, 10, 4), (2, 4, 4), (1, 6, 6)),
    ),
    Deployment(
        'mixed, 93 accelerators',
        engine_of(MIXED_KINDS, 984_000, 1.02, 216),
        ((2, 24, 9), (4, 10, 11), (3, 14, 16)),
    ),
)


def zone_accelerators(
    engine: Engine, counts: Sequence[int]
) -> list[Accelerator]:
    """Return the accelerators of one zone, without layers."""
    return [
        Accelerator(f'{name}{number}', 'zone', kind.memory_mb, kind.step_factor)
        for (name, kind), count in zip(
            engine.accelerators.items(), counts, strict=True
        )
        for number in range(count)
    ]


def capacity_of(
    engine: Engine, groups: Sequence[Sequence[Accelerator]]
) -> Capacity:
    """Return what the layouts of some groups carry together."""
    layouts = [lay_out(group, engine) for group in groups]
    placements = [placed for layout in layouts for placed in layout]
    layers = sum(len(held) for _, held in placements)
    step_factor = (
        sum(len(held) * one.step_factor for one, held in placements) / layers
    )
    answer_s = (
        engine.typical_output_tokens
        * engine.step_s
        * step_factor
        * (1 + WAITING_SHARE)
    )
    kv_requests = sum(requests_that_fit(layout, engine) for layout in layouts)
    admitted = engine.slots * sum(not held.first for _, held in placements)
    return Capacity(
        accelerators=len(placements),
        replicas=len(layouts),
        step_factor=round(step_factor, 2),
        answer_s=round(answer_s, 2),
        kv_requests=kv_requests,
        admitted=admitted,
        requests_per_s=round(min(kv_requests, admitted) / answer_s, 1),
    )


def requests_that_fit(layout: Sequence[Placement], engine: Engine) -> int:
    """Return how many requests of usual size fit on each accelerator."""
    tokens = engine.typical_prompt_tokens + engine.typical_output_tokens
    return int(min_kv_capacity(layout, engine) // tokens)


def split(
    accelerators: Sequence[Accelerator], count: int
) -> list[list[Accelerator]]:
    """Spread accelerators over replicas of similar memory."""
    replicas: list[list[Accelerator]] = [[] for _ in range(count)]
    for one in sorted(accelerators, key=lambda one: -one.memory_mb):
        min(replicas, key=_memory_mb).append(one)
    return replicas


def compare(engine: Engine, counts: Sequence[int]) -> dict[str, object]:
    """Return the capacity over all accelerators and over the working set."""
    accelerators = zone_accelerators(engine, counts)
    pool = AcceleratorPool.of(accelerators)
    everything = split(accelerators, pool.replica_count(engine, pool))
    groups = ModelReplicas().groups(accelerators, engine)
    serving = [working_set(group, engine) for group in groups]
    return {
        'accelerators': list(counts),
        'all': asdict(capacity_of(engine, everything)),
        'working_set': asdict(capacity_of(engine, serving)),
    }


def _memory_mb(accelerators: Sequence[Accelerator]) -> float:
    return sum(one.memory_mb for one in accelerators)


@click.command()
def main() -> None:
    """Print one line of JSON for each zone of each deployment."""
    for deployment in DEPLOYMENTS:
        for counts in deployment.zones:
            line = compare(deployment.engine, counts)
            click.echo(json.dumps({'deployment': deployment.name} | line))


if __name__ == '__main__':
    main()
