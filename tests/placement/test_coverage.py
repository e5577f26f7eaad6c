"""Orders that would take away the last copy of a layer."""

from foxtailhatch.core import LayerRange
from foxtailhatch.placement import OrderReason, PlacementOrder
from foxtailhatch.placement.coverage import (
    ServedLayers,
    ServingEngine,
    admit,
    beside,
)


def served(*engines):
    """Return engines from names, zones, first and end layers; 10 layers."""
    return ServedLayers(
        tuple(
            ServingEngine(name, zone, LayerRange(first, end), *rest)
            for name, zone, first, end, *rest in engines
        ),
        layer_count=10,
    )


def order(first, end, name='a'):
    return PlacementOrder(
        name, LayerRange(first, end), OrderReason.FULL_RELAYOUT
    )


def test_only_holder_of_a_layer_keeps_it():
    layers = served(('a', 'z1', 0, 6), ('b', 'z1', 4, 10))
    assert layers.last_copies('a', LayerRange(2, 8)) == {0, 1}
    assert layers.last_copies('a', LayerRange(0, 4)) == frozenset()


def test_copy_in_another_zone_does_not_count_for_a_whole_zone():
    layers = served(('a', 'z1', 0, 5), ('b', 'z1', 5, 10), ('c', 'z2', 0, 10))
    assert layers.last_copies('a', LayerRange(1, 5)) == {0}


def test_zone_without_a_chain_keeps_what_no_other_zone_has():
    layers = served(('a', 'z1', 0, 5), ('b', 'z2', 4, 8), ('c', 'z2', 8, 10))
    assert layers.last_copies('a', LayerRange(6, 9)) == {0, 1, 2, 3}


def test_layers_may_go_where_no_chain_is_left():
    layers = served(('a', 'z1', 0, 5), ('b', 'z1', 6, 10))
    assert layers.last_copies('a', LayerRange(2, 6)) == frozenset()


def test_copy_of_a_leaving_engine_does_not_count():
    layers = served(
        ('a', 'z1', 0, 5), ('b', 'z1', 5, 10), ('c', 'z1', 0, 5, True)
    )
    assert layers.last_copies('a', LayerRange(2, 5)) == {0, 1}


def test_empty_and_unknown_engines_release_nothing():
    layers = served(('a', 'z1', 0, 10))
    assert layers.last_copies('d', LayerRange(0, 5)) == frozenset()


def test_engine_that_has_to_keep_its_layers_loads_others_beside_them():
    layers = served(('a', 'z1', 0, 5), ('b', 'z1', 5, 10))
    assert admit(order(2, 8), layers, 8).layers == LayerRange(0, 8)
    assert admit(order(2, 8), layers, 6).layers == LayerRange(0, 6)
    assert admit(order(2, 8), layers, 5) is None
    assert admit(order(7, 9), layers, 10) is None


def test_new_layers_on_both_sides_are_taken_as_far_as_memory_allows():
    held = LayerRange(3, 6)
    assert beside(order(1, 9), held, 8).layers == LayerRange(1, 9)
    assert beside(order(1, 9), held, 7).layers == LayerRange(2, 9)
    assert beside(order(4, 6), held, 7) is None


def test_least_copies_count_engines_that_stay():
    layers = served(
        ('a', 'z1', 0, 10), ('b', 'z1', 0, 10), ('c', 'z1', 2, 10, True)
    )
    assert layers.least_copies('z1') == 2
    assert layers.is_whole('z1')
    assert not layers.is_whole('z2')


# Guards against a last copy that went as its zone was taken for one without a
# chain: the report on the end of a load came after the order.
def test_zone_whose_loads_may_be_done_keeps_its_layers():
    layers = served(
        ('a', 'z1', 0, 5), ('b', 'z1', 5, 8, False, LayerRange(5, 10))
    )
    assert not layers.is_whole('z1')
    assert layers.last_copies('a', LayerRange(1, 5)) == {0}
    # A layer that is still being loaded has no other copy.
    loading = served(
        ('a', 'z1', 0, 10), ('b', 'z1', 5, 6, False, LayerRange(5, 10))
    )
    assert loading.last_copies('a', LayerRange(0, 5)) == {6, 7, 8, 9}
