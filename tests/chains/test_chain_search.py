import pytest

from foxtailhatch.chains.chain_search import (
    ChainPath,
    LayerHolder,
    Stage,
    cheapest_chain,
)
from foxtailhatch.core import LayerRange


class FlatCosts:
    """Each layer costs 1, or 100 at expensive endpoints; hops cost the same."""

    def __init__(self, crossing=10, expensive=()):
        self._crossing = crossing
        self._expensive = expensive

    def stage_cost(self, endpoint, layers, *, is_first):
        return layers * (100 if endpoint in self._expensive else 1)

    def crossing_cost(self, zone, to_zone, *, is_first):
        return 0 if zone == to_zone else self._crossing


def holder(name, first, end, zone='z1'):
    return LayerHolder(name, zone, LayerRange(first, end))


def chain(holders, costs=None, start=None, **kwargs):
    path = cheapest_chain(
        holders,
        8,
        costs or FlatCosts(),
        start or ChainPath('z1'),
        **kwargs,
    )
    if path is None:
        return None
    return [
        (stage.endpoint, stage.layers.first, stage.layers.end)
        for stage in path.stages
    ]


def test_contiguous_ranges_make_a_chain():
    assert chain([holder('a', 0, 5), holder('b', 5, 8)]) == [
        ('a', 0, 5),
        ('b', 5, 8),
    ]


def test_gap_leaves_no_chain():
    assert chain([holder('a', 0, 4), holder('b', 5, 8)]) is None


def test_overlap_is_cut_where_it_is_cheapest():
    path = chain(
        [holder('a', 0, 6), holder('b', 4, 8)],
        FlatCosts(expensive=('a',)),
    )
    assert path == [('a', 0, 4), ('b', 4, 8)]


def test_chain_prefers_its_own_zone():
    path = chain(
        [holder('far', 0, 8, 'z2'), holder('a', 0, 4), holder('b', 4, 8)],
    )
    assert path == [('a', 0, 4), ('b', 4, 8)]


def test_missing_layers_come_from_another_zone():
    path = chain(
        [holder('a', 0, 4), holder('b', 6, 8), holder('far', 4, 6, 'z2')],
    )
    assert path == [('a', 0, 4), ('far', 4, 6), ('b', 6, 8)]


def test_heads_restrict_the_first_stage():
    holders = [holder('a', 0, 4), holder('c', 0, 4), holder('b', 4, 8)]
    assert chain(holders, heads={'c'})[0][0] == 'c'
    assert chain(holders, heads={'gone'}) is None


def test_started_chain_keeps_its_first_stage():
    first = Stage('a', LayerRange(0, 3))
    path = chain(
        [holder('a', 0, 8), holder('b', 0, 8), holder('c', 3, 8)],
        start=ChainPath('z1', stages=(first,)),
    )
    assert path[0] == ('a', 0, 3)
    assert path[1][0] in {'b', 'c'}


def test_no_endpoint_runs_two_stages():
    holders = [holder('a', 0, 8), holder('b', 2, 4)]
    costs = FlatCosts(expensive=('a',))
    assert chain(holders, costs) == [('a', 0, 8)]


@pytest.mark.parametrize('crossing', [0, 1000])
def test_crossings_are_avoided_only_if_expensive(crossing):
    path = chain(
        [holder('a', 0, 8), holder('far', 0, 8, 'z2')],
        FlatCosts(crossing, expensive=('a',)),
    )
    assert path[0][0] == ('far' if not crossing else 'a')


def test_chain_length_is_limited():
    """Many small holders are cheap, but their chain exceeds the limit."""
    small = [holder(f's{index}', index, index + 1) for index in range(8)]
    large = [holder('a', 0, 4), holder('b', 4, 8)]
    costs = FlatCosts(expensive=('a', 'b'))
    assert len(chain(small + large, costs)) == 8
    assert len(chain(small + large, costs, max_stages=7)) <= 7
    assert len(chain(small + large, costs, max_stages=2)) == 2
    assert chain(small, costs, max_stages=7) is None
