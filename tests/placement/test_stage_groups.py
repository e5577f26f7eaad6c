"""Groups of accelerators with the same first layer, and partial members."""

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.stage_groups import stage_groups_of
from tests.placement.test_plan import make_accelerator
from tests.routes.configurations import ENGINE


def stage_group(*accelerators):
    return stage_groups_of(accelerators)[0]


def test_same_first_layer_forms_one_group():
    groups = stage_groups_of(
        [
            make_accelerator('a', 'small', (0, 6)),
            make_accelerator('b', 'small', (0, 6)),
            make_accelerator('c', 'middle', (6, 12)),
        ],
    )
    assert [group.layers for group in groups] == [
        LayerRange(0, 6),
        LayerRange(6, 12),
    ]


def test_group_inside_another_is_left_out():
    groups = stage_groups_of(
        [
            make_accelerator('a', 'middle', (0, 10)),
            make_accelerator('b', 'small', (4, 8)),
            make_accelerator('c', 'middle', (10, 20)),
        ],
    )
    assert [group.layers.first for group in groups] == [0, 10]


def test_accelerator_without_layers_is_in_no_group():
    assert stage_groups_of([make_accelerator('a', 'small')]) == []


def test_capacity_is_that_of_the_smallest_full_member():
    group = stage_group(
        make_accelerator('a', 'middle', (0, 6)),
        make_accelerator('b', 'large', (0, 6)),
        make_accelerator('c', 'small', (0, 4)),
    )
    assert group.kv_capacity(ENGINE) == ENGINE.kv_tokens(21_600, 6)


def test_growing_group_leaves_partial_member_unchanged():
    partial = make_accelerator('b', 'small', (0, 4))
    full = make_accelerator('a', 'small', (0, 6))
    grown = stage_group(full, partial).changes_to_hold(LayerRange(0, 7))
    assert grown == [(full, LayerRange(0, 7))]


def test_shrinking_group_shrinks_partial_member():
    partial = make_accelerator('b', 'small', (0, 4))
    full = make_accelerator('a', 'small', (0, 6))
    shrunk = stage_group(full, partial).changes_to_hold(LayerRange(0, 3))
    assert shrunk == [(full, LayerRange(0, 3)), (partial, LayerRange(0, 3))]


def test_partial_member_below_new_first_layer_is_unchanged():
    partial = make_accelerator('b', 'small', (4, 6))
    full = make_accelerator('a', 'middle', (4, 12))
    moved = stage_group(full, partial).changes_to_hold(LayerRange(8, 12))
    assert moved == [(full, LayerRange(8, 12))]
