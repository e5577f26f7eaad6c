"""Cards with the same first layer move as one; helpers stay behind."""

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.stage_groups import stage_groups_of
from tests.placement.test_plan import card
from tests.routes.configurations import ENGINE


def column(*cards):
    return stage_groups_of(cards)[0]


def test_cards_with_one_first_layer_are_one_column():
    found = stage_groups_of(
        [
            card('a', 'small', (0, 6)),
            card('b', 'small', (0, 6)),
            card('c', 'middle', (6, 12)),
        ],
    )
    assert [one.layers for one in found] == [
        LayerRange(0, 6),
        LayerRange(6, 12),
    ]


def test_column_inside_another_is_left_out():
    found = stage_groups_of(
        [
            card('a', 'middle', (0, 10)),
            card('b', 'small', (4, 8)),
            card('c', 'middle', (10, 20)),
        ],
    )
    assert [one.layers.first for one in found] == [0, 10]


def test_card_without_layers_is_in_no_column():
    assert stage_groups_of([card('a', 'small')]) == []


def test_room_is_that_of_the_tightest_of_the_longest():
    found = column(
        card('a', 'middle', (0, 6)),
        card('b', 'large', (0, 6)),
        card('c', 'small', (0, 4)),
    )
    assert found.room(ENGINE) == ENGINE.kv_tokens(21_600, 6)


def test_growing_column_leaves_its_helper_alone():
    helper = card('b', 'small', (0, 4))
    longest = card('a', 'small', (0, 6))
    grown = column(longest, helper).holding(LayerRange(0, 7))
    assert grown == [(longest, LayerRange(0, 7))]


def test_shrinking_column_takes_its_helper_along():
    helper = card('b', 'small', (0, 4))
    longest = card('a', 'small', (0, 6))
    shrunk = column(longest, helper).holding(LayerRange(0, 3))
    assert shrunk == [(longest, LayerRange(0, 3)), (helper, LayerRange(0, 3))]


def test_helper_below_the_new_first_layer_keeps_what_it_has():
    helper = card('b', 'small', (4, 6))
    longest = card('a', 'middle', (4, 12))
    moved = column(longest, helper).holding(LayerRange(8, 12))
    assert moved == [(longest, LayerRange(8, 12))]
