"""Pools of the two users at their current sizes, with four accelerator kinds."""

import random
from dataclasses import dataclass, replace

from bench.pool_model import EngineSpec
from foxtailhatch.core import LayerRange

LAYERS = 32
MICRO = 1e6
THRISSUR_ZONES = ('thrissur-a', 'irinjalakuda-b', 'chalakudy-c')
KALAHARI_ZONES = ('whk-a', 'whk-b', 'okh-c')
SAME_ZONE_ONE_WAY_S = 0.0001
OTHER_ZONE_ONE_WAY_S = 0.00055


@dataclass(frozen=True, slots=True)
class Accelerator:
    """Number of layers that an accelerator kind holds, and its times per layer."""

    kind: str
    layers: int
    base_us: float
    per_stream_us: float
    per_token_us: float

    def seconds(self, layer_us: float) -> float:
        """Return the time for all held layers in seconds."""
        return layer_us * self.layers / MICRO


ACCELERATORS = (
    Accelerator('a', 16, base_us=200, per_stream_us=30, per_token_us=3),
    Accelerator('b', 12, base_us=350, per_stream_us=50, per_token_us=5),
    Accelerator('c', 8, base_us=500, per_stream_us=80, per_token_us=8),
    Accelerator('d', 6, base_us=800, per_stream_us=120, per_token_us=12),
)


def user_pool(
    zones: tuple[str, ...],
    counts: tuple[int, ...],
    rng: random.Random,
    slow_links: float = 0.1,
) -> tuple[EngineSpec, ...]:
    """Return engines of each kind, with ranges spread over the layers.

    A share of ``slow_links`` of them has a link that is 100 times slower.
    """
    specs: list[EngineSpec] = []
    for kind, number in zip(ACCELERATORS, counts, strict=True):
        for index in range(number):
            first = _first(kind.layers, index)
            name = f'{kind.kind}-{index}'
            spec = EngineSpec(
                name,
                zones[len(specs) % len(zones)],
                LayerRange(first, first + kind.layers),
                kind.seconds(kind.base_us),
                kind.seconds(kind.per_stream_us),
                kind.seconds(kind.per_token_us),
            )
            if rng.random() < slow_links:
                spec = replace(spec, link_s=100 * SAME_ZONE_ONE_WAY_S)
            specs.append(spec)
    return tuple(specs)


def _first(layers: int, index: int) -> int:
    """Return the first layer of the range number ``index`` of a kind."""
    places = -(-LAYERS // layers)
    place = index % places
    return min(place * layers, LAYERS - layers)


def thrissur(rng: random.Random) -> tuple[EngineSpec, ...]:
    """Return about 40 guidance replicas in Thrissur's zones."""
    return user_pool(THRISSUR_ZONES, (8, 9, 12, 12), rng)


def kalahari(rng: random.Random) -> tuple[EngineSpec, ...]:
    """Return about 40 gauge replicas in Kalahari's zones."""
    return user_pool(KALAHARI_ZONES, (4, 12, 16, 8), rng)
