"""The most that a pool can do, as a maximum flow through its layers."""

from collections.abc import Sequence

import networkx as nx

from bench.pool_model import EngineSpec

SLACK = 1e-9


def layer_capacity(
    spec: EngineSpec,
    prompt_tokens: float,
    answer_tokens: float,
) -> float:
    """Return how many layers of requests an engine can run a second.

    It always runs full batches then, and asks nothing of its link.
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
    """Return the greatest number of requests a second.

    A request needs each layer once, so the flow leaves the source through
    each layer with one rate, goes through endpoints that hold the layer, and
    is bounded by what each endpoint can run.  The rate starts too high, and
    each minimum cut lowers it to what the cut's layers can get, until all of
    the flow passes.
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
    """Return the rate that the layers before a cut can have."""
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
