"""Choose the accelerators that serve, and keep much slower ones in reserve.

A token passes through all stages of a chain, so a slow accelerator with its
share of the layers delays each of them.  Its memory adds KV capacity, but the
requests stay in progress for longer, too.  So an accelerator is worth its
memory only if the capacity that it adds outweighs the time that it costs.  The
others stay empty and replace accelerators that are lost.

Layers are laid out in proportion to memory, so the mean step factor of a set,
weighted by memory, is that of its chains.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.routes import Engine
from foxtailhatch.routes.configuration import BYTES_IN_MB

# KV capacity of a replica, relative to the requests that its first endpoint
# admits.
ADMITTED_LOAD_SHARE = 1.0
# With fewer replicas the loss of one accelerator stops all requests of a zone.
REPLICAS_MIN = 2


@dataclass(frozen=True, slots=True)
class AcceleratorPool:
    """The memory in MB and the mean step factor of some accelerators."""

    memory_mb: float
    step_factor: float

    @classmethod
    def of(cls, accelerators: Iterable[Accelerator]) -> 'AcceleratorPool':
        """Return the pool of some accelerators; there must be one or more."""
        return list(cls.growing(accelerators))[-1]

    @classmethod
    def growing(
        cls, accelerators: Iterable[Accelerator]
    ) -> Iterator['AcceleratorPool']:
        """Yield the pool of the first accelerator, of the first two and so on."""
        memory_mb = float(0)
        weighted_factors = float(0)
        for accelerator in accelerators:
            memory_mb += accelerator.memory_mb
            weighted_factors += accelerator.memory_mb * accelerator.step_factor
            yield cls(memory_mb, weighted_factors / memory_mb)

    def replica_memory_mb(
        self, engine: Engine, reference: 'AcceleratorPool'
    ) -> float:
        """Return the memory of a replica's weights and KV cache, in MB.

        A replica of the ``reference`` pool has a KV cache for all requests
        that its head admits.  A faster one has fewer of them in progress.
        """
        admitted = ADMITTED_LOAD_SHARE * engine.slots
        relative_time = self.step_factor / reference.step_factor
        return (
            engine.layer_count * engine.layer_mb
            + admitted * relative_time * _request_memory_mb(engine)
        )

    def replica_count(
        self, engine: Engine, reference: 'AcceleratorPool'
    ) -> int:
        """Return how many replicas the memory suffices for, at least one."""
        needed_mb = self.replica_memory_mb(engine, reference)
        return max(1, int(self.memory_mb // needed_mb))

    def value(self, engine: Engine, reference: 'AcceleratorPool') -> float:
        """Return the requests that can be served in a time, over their time.

        The requests that fit, divided by the time of each, are served in a
        unit of time.  Of two pools that serve as many, the faster is better.
        """
        weights_mb = engine.layer_count * engine.layer_mb
        replicas = self.memory_mb / self.replica_memory_mb(engine, reference)
        cache_mb = self.memory_mb - max(1, replicas) * weights_mb
        requests = max(0, cache_mb) / _request_memory_mb(engine)
        return float(requests / self.step_factor**2)


def working_set(
    accelerators: Sequence[Accelerator], engine: Engine
) -> list[Accelerator]:
    """Return the accelerators that should hold layers, fast ones first.

    They suffice for ``REPLICAS_MIN`` replicas if all accelerators do.
    """
    ordered = sorted(
        accelerators,
        key=lambda accelerator: (
            accelerator.step_factor,
            -accelerator.memory_mb,
            accelerator.endpoint,
        ),
    )
    if not ordered:
        return []
    pools = list(AcceleratorPool.growing(ordered))
    reference = pools[-1]
    best_count = len(ordered)
    best_value = reference.value(engine, reference)
    replicas_min = min(REPLICAS_MIN, reference.replica_count(engine, reference))
    for count in range(len(ordered) - 1, 0, -1):
        pool = pools[count - 1]
        if pool.replica_count(engine, reference) < replicas_min:
            break
        pool_value = pool.value(engine, reference)
        if pool_value > best_value:
            best_count, best_value = count, pool_value
    return ordered[:best_count]


def replicas_in_working_set(
    accelerators: Sequence[Accelerator], engine: Engine
) -> int:
    """Return how many replicas the working set suffices for."""
    if not accelerators:
        return 1
    reference = AcceleratorPool.of(accelerators)
    pool = AcceleratorPool.of(working_set(accelerators, engine))
    return pool.replica_count(engine, reference)


def _request_memory_mb(engine: Engine) -> float:
    """Return the KV cache of a request of usual size, in MB."""
    usual = engine.typical_prompt_tokens + engine.typical_output_tokens
    return usual * engine.kv_bytes / BYTES_IN_MB
