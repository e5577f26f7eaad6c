"""Rooms that a loss left uneven: they even out, with a holder throughout."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailhatch.placement import plan_placement
from foxtailhatch.placement.layout import (
    lay_out,
    min_kv_capacity,
    uncovered_ranges,
)
from tests.placement.test_plan import after, card, room, zone_cards
from tests.routes.configurations import ENGINE

# Steps until a group is even; more would keep its cards loading for long.
STEPS_MAX = 40
# The rest is a gain too small to load layers for, or another order of cards.
ROOM_SHARE = 0.6
ROOM_SHARE_MIN = 0.5
# More room than for the requests that a receiver takes is of no use.
ROOM_USED = ENGINE.slots * (ENGINE.usual_prompt + ENGINE.usual_answer)


def placed(cards):
    return after(cards, plan_placement(cards, ENGINE))


def evened(cards):
    """Return the cards after each step, until no more is ordered."""
    states = [cards]
    while len(states) < STEPS_MAX:
        orders = plan_placement(states[-1], ENGINE)
        if not orders:
            return states
        states.append(after(states[-1], orders))
    raise AssertionError('the plan never comes to rest')


@pytest.mark.parametrize('lost', (1, 3, 5, 7, 9))
@pytest.mark.parametrize('shape', ((1, 7, 5), (2, 5, 8), (2, 3, 5)))
def test_room_evens_out_after_a_loss(shape, lost):
    cards = placed(zone_cards(*shape))
    rest = [one for place, one in enumerate(cards) if place != lost]
    last = evened(rest)[-1]
    best = min_kv_capacity(lay_out(rest, ENGINE), ENGINE)
    least = min(map(room, last))
    assert least >= ROOM_SHARE * min(ROOM_USED, best)
    assert least >= ROOM_SHARE_MIN * best


@pytest.mark.parametrize('lost', range(13))
def test_each_layer_has_a_holder_at_every_step(lost):
    cards = placed(zone_cards(1, 7, 5))
    rest = [one for place, one in enumerate(cards) if place != lost]
    for state in evened(rest)[1:]:
        assert uncovered_ranges([one for one in state if one.layers], 80) == []


def test_even_group_is_left_alone():
    cards = placed(zone_cards(2, 5, 8))
    assert evened(cards) == [cards]


def test_returning_card_takes_a_part_of_the_tightest():
    cards = placed(zone_cards(1, 7, 5))
    rest = evened([one for place, one in enumerate(cards) if place != 4])[-1]
    tightest = min(rest, key=room)
    last = evened([*rest, card('back', 'middle')])[-1]
    relieved = next(one for one in last if one.endpoint == tightest.endpoint)
    assert room(relieved) > room(tightest)
    assert min(map(room, last)) >= room(tightest)


def test_no_card_is_given_more_than_it_holds():
    cards = placed(zone_cards(2, 5, 8))[3:]
    for state in evened(cards):
        for one in state:
            if one.layers:
                assert len(one.layers) * ENGINE.layer_mb < one.memory_mb


def test_uneven_heads_do_not_keep_the_rest_tight():
    """One of two receivers has taken a gap beside it, the other has not."""
    ranges = [
        ('small', (0, 6)),
        ('small', (0, 4)),
        ('small', (6, 12)),
        *(('small', (first, first + 4)) for first in range(12, 28, 4)),
        ('middle', (28, 35)),
        ('middle', (35, 42)),
        ('middle', (42, 53)),
        ('middle', (53, 63)),
        ('middle', (63, 69)),
        ('large', (69, 80)),
    ]
    cards = [
        card(f'c{place}', kind, layers)
        for place, (kind, layers) in enumerate(ranges)
    ]
    last = evened(cards)[-1]
    assert min(map(room, last)) > 4 * min(map(room, cards))


@given(
    st.tuples(st.integers(0, 3), st.integers(2, 8), st.integers(2, 9)),
    st.lists(st.integers(0, 19), min_size=1, max_size=3),
)
@settings(max_examples=60, derandomize=True, deadline=None)
def test_series_of_losses_comes_to_rest_without_a_gap(shape, lost):
    cards = placed(zone_cards(*shape))
    for place in lost:
        if not any(one.layers for one in cards):
            return
        if uncovered_ranges([one for one in cards if one.layers], 80):
            return
        left = [one for one in cards if one is not cards[place % len(cards)]]
        for state in evened(left)[1:]:
            assert (
                uncovered_ranges([one for one in state if one.layers], 80) == []
            )
        cards = evened(left)[-1]
