"""Zones with many cards: several copies that stay as they are."""

from dataclasses import replace

import pytest

from foxtailhatch.placement import (
    ModelReplicas,
    OrderReason,
    other_replicas_in_zone,
    plan_placement,
)
from foxtailhatch.placement.groups import total_memory_mb
from foxtailhatch.placement.layout import uncovered_ranges
from foxtailhatch.placement.replicas import replica_count, replica_memory_mb
from tests.placement.test_plan import after, card, zone_cards
from tests.routes.configurations import ENGINE

# Zones like those of deployments with a hundred engines.
LARGE = [(2, 13, 22), (1, 22, 12), (4, 9, 14), (1, 10, 15), (1, 17, 8)]
SMALL = [(2, 5, 8), (1, 7, 5), (2, 3, 5)]


def planned(keeper, cards):
    """Return the cards after one plan of each copy."""
    orders = [
        order
        for copy in keeper.groups(cards, ENGINE)
        for order in plan_placement(copy, ENGINE)
    ]
    return after(cards, orders)


def names(copies):
    return [{one.endpoint for one in copy} for copy in copies]


@pytest.mark.parametrize('shape', SMALL)
def test_small_zone_is_one_copy(shape):
    cards = zone_cards(*shape)
    assert names(ModelReplicas().groups(cards, ENGINE)) == [
        {one.endpoint for one in cards},
    ]


@pytest.mark.parametrize('shape', LARGE)
def test_large_zone_is_several_copies_of_like_memory(shape):
    copies = ModelReplicas().groups(zone_cards(*shape), ENGINE)
    assert len(copies) > 1
    sizes = [total_memory_mb(copy) for copy in copies]
    assert max(sizes) - min(sizes) <= 36_000
    assert min(sizes) >= 0.95 * replica_memory_mb(ENGINE)


@pytest.mark.parametrize('shape', LARGE)
def test_each_copy_holds_each_layer_in_a_chain_of_bounded_length(shape):
    keeper = ModelReplicas()
    cards = planned(keeper, zone_cards(*shape))
    for copy in keeper.groups(cards, ENGINE):
        assert uncovered_ranges(copy, 80) == []
        assert len(copy) <= ENGINE.stages_max


@pytest.mark.parametrize('shape', LARGE)
def test_new_decider_finds_copies_without_new_orders(shape):
    cards = planned(ModelReplicas(), zone_cards(*shape))
    assert planned(ModelReplicas(), cards) == cards


@pytest.mark.parametrize('lost', range(0, 35, 5))
def test_loss_changes_one_copy_alone(lost):
    keeper = ModelReplicas()
    cards = planned(keeper, zone_cards(1, 22, 12))
    copies = keeper.groups(cards, ENGINE)
    hit = next(copy for copy in copies if cards[lost] in copy)
    left = [one for one in cards if one is not cards[lost]]
    repaired = planned(keeper, left)
    changed = {
        before.endpoint
        for before, now in zip(left, repaired, strict=True)
        if before.layers != now.layers
    }
    for copy in keeper.groups(repaired, ENGINE):
        assert uncovered_ranges(copy, 80) == []
    assert changed <= {one.endpoint for one in hit}


def test_empty_card_joins_the_copy_with_least_memory():
    keeper = ModelReplicas()
    cards = planned(keeper, zone_cards(1, 22, 12))
    hit = keeper.groups(cards, ENGINE)[1]
    left = [one for one in cards if one is not hit[0]]
    keeper.groups(left, ENGINE)
    groups = keeper.groups([*left, card('new', 'middle')], ENGINE)
    joined = next(group for group in names(groups) if 'new' in group)
    assert joined & {one.endpoint for one in hit}


def test_card_that_comes_back_with_its_layers_joins_its_copy():
    keeper = ModelReplicas()
    cards = planned(keeper, zone_cards(1, 22, 12))
    hit = keeper.groups(cards, ENGINE)[1]
    keeper.groups([one for one in cards if one is not hit[4]], ENGINE)
    assert names(keeper.groups(cards, ENGINE))[1] == {
        one.endpoint for one in hit
    }


def test_more_cards_than_a_chain_may_have_are_not_all_used():
    engine = replace(ENGINE, stages_max=8)
    cards = zone_cards(4, 0, 14)
    orders = plan_placement(cards, engine)
    assert len(orders) <= 8
    placed = after(cards, orders)
    assert plan_placement(placed, engine) == []


def test_copies_are_counted_by_what_is_held():
    cards = planned(ModelReplicas(), zone_cards(2, 13, 22))
    assert replica_count(cards, ENGINE) == replica_count(
        zone_cards(2, 13, 22),
        ENGINE,
    )


def test_broken_copy_is_not_laid_out_anew_while_another_holds_its_layers():
    """Engines of one copy fall away until it has not the memory for all."""
    keeper = ModelReplicas()
    cards = planned(keeper, zone_cards(1, 22, 12))
    copies = keeper.groups(cards, ENGINE)
    kept = copies[0][:3]
    assert (
        plan_placement(kept, ENGINE, other_replicas_in_zone(copies[0], copies))
        == []
    )


def test_lone_copy_is_laid_out_anew_where_neighbours_lack_the_memory():
    cards = [
        card('a', 'large', (0, 20)),
        card('b', 'large', (20, 39)),
        card('c', 'large', (59, 79)),
        card('d', 'large', (79, 80)),
        card('e', 'large', (79, 80)),
    ]
    reasons = {one.reason for one in plan_placement(cards, ENGINE)}
    assert reasons == {OrderReason.FULL_RELAYOUT}
