"""Throughput bound of a pool, as a maximum flow through its layers."""

from collections.abc import Sequence

import networkx as nx

from bench.pool_model import EngineSpec

SLACK = 1e-9


def layer_capacity(
    spec: EngineSpec,
    prompt_tokens: float,
    answer_tokens: float,
) -> float:
    """Return the request layers that an engine can run per second.

    This assumes full batches and no link latency.
    """
    pass_s = spec.batch_s(spec.max_batch) / spec.max_batch
    prefill_s = (prompt_tokens - 1) * spec.per_token_s
    return len(spec.layers) / (answer_tokens * pass_s + prefill_s)


def requests_bound(
    specs: Sequence[EngineSpec],
    layers: int,
    prompt_tokens: float,
    answer_tokens: float,
) -> float:
    """Return the maximum number of requests per second.

    A request needs each layer once, so the flow leaves the source through
    every layer at the same rate, passes through endpoints that hold the
    layer, and is limited by the capacity of each endpoint.  The rate starts
    at an upper bound, and each minimum cut lowers it to the capacity of the
    layers in the cut, until the whole flow passes.
    """
    capacities = {
        spec.name: layer_capacity(spec, prompt_tokens, answer_tokens)
        for spec in specs
    }
    rate = sum(capacities.values()) / layers
    while True:
        graph = _graph(specs, layers, capacities, rate)
        flow, (source_side, _) = nx.minimum_cut(graph, 'source', 'sink')
        if flow >= rate * layers * (1 - SLACK):
            return rate
        rate = flow_rate(source_side, capacities)


def flow_rate(source_side: set[object], capacities: dict[str, float]) -> float:
    """Return the rate per layer that the source side of a cut allows."""
    limited_layers = sum(1 for node in source_side if isinstance(node, int))
    return (
        sum(capacities.get(str(node), 0) for node in source_side)
        / limited_layers
    )


def _graph(
    specs: Sequence[EngineSpec],
    layers: int,
    capacities: dict[str, float],
    rate: float,
) -> 'nx.DiGraph[object]':
    graph: nx.DiGraph[object] = nx.DiGraph()
    for layer in range(layers):
        graph.add_edge('source', layer, capacity=rate)
    for spec in specs:
        graph.add_edge(spec.name, 'sink', capacity=capacities[spec.name])
        for layer_held in range(spec.layers.first, spec.layers.end):
            graph.add_edge(layer_held, spec.name)
    return graph
