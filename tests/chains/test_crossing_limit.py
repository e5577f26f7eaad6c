"""Limit on crossings: the shared link must not be filled in any instant."""

from random import Random

import pytest

from foxtailhatch.chains.crossing_limit import (
    CREDIT_TTL_S,
    LINK_SHARE,
    CrossingLimit,
    LinkUse,
)

# 2,720 Mbit/s, and a prompt and an answer of usual length.
LINK_BYTES_PER_S = 340e6
CHAIN_BYTES = 900 * 36_000
LINK = LinkUse(LINK_BYTES_PER_S, CHAIN_BYTES)


def limits(entries, seed=1):
    random = Random(seed)
    found = [CrossingLimit(LINK, random.random()) for _ in range(entries)]
    for limit in found:
        limit.update(LINK.entry_rate(1, entries), 0)
    return found


def sent(found, until, each_s=0.05, start=0.0, chain_bytes=CHAIN_BYTES):
    """Return the bytes started if all entries always want to cross."""
    total, now = 0, start
    while now < until:
        for limit in found:
            if limit.has_credit(now):
                limit.take(chain_bytes, now)
                total += chain_bytes
        now += each_s
    return total


@pytest.mark.parametrize('entries', [1, 30, 91, 137, 360])
def test_all_entries_together_start_half_of_the_link(entries):
    allowed = LINK_SHARE * LINK_BYTES_PER_S * 100
    total = sent(limits(entries), 100)
    assert total <= allowed + CHAIN_BYTES * 2
    assert total >= 0.9 * allowed


@pytest.mark.parametrize('entries', [30, 137, 360])
@pytest.mark.parametrize('idle_s', [0, 7.3, 600])
def test_group_lost_after_a_quiet_time_fills_no_link(entries, idle_s):
    """All entries want to cross in the same instant, with credit saved up.

    A bucket that keeps its credit lets each of them start a chain: 137 of
    them occupy the link for 13 s.
    """
    at_once = sent(limits(entries), idle_s + 0.01, start=idle_s)
    # Credit of half a second, and the chance of random phases.
    expected = LINK_SHARE * LINK_BYTES_PER_S * CREDIT_TTL_S
    deviation = (expected * CHAIN_BYTES) ** 0.5
    assert at_once <= expected + 4 * deviation + CHAIN_BYTES


@pytest.mark.parametrize('factor', [0.3, 1, 4])
def test_size_of_the_chains_does_not_change_the_rate(factor):
    """Large prompts leave a debt, small ones wait for full credit."""
    total = sent(limits(30), 100, chain_bytes=factor * CHAIN_BYTES)
    allowed = LINK_SHARE * LINK_BYTES_PER_S * 100
    assert total <= allowed + 30 * factor * CHAIN_BYTES


def test_rate_follows_demand_and_entries_of_a_zone():
    busy, quiet = LINK.entry_rate(0.75, 10), LINK.entry_rate(0.25, 40)
    assert 10 * busy + 40 * quiet == pytest.approx(
        LINK_SHARE * LINK_BYTES_PER_S
    )
    assert 10 * busy == pytest.approx(3 * 40 * quiet)


def test_services_share_the_link():
    shared = LinkUse(LINK_BYTES_PER_S, CHAIN_BYTES, services=2)
    assert 2 * shared.entry_rate(1, 1) == LINK.entry_rate(1, 1)


def test_change_of_the_rate_keeps_what_was_gained():
    limit = CrossingLimit(LinkUse(200, 100), 0)
    limit.update(50, 0)
    limit.update(10, 1)
    assert not limit.has_credit(5.9)
    assert limit.has_credit(6.1)


def test_clock_that_steps_back_gives_no_credit():
    limit = CrossingLimit(LinkUse(200, 100), 0)
    limit.update(50, 10)
    assert not limit.has_credit(5)
    assert not limit.has_credit(6.9)
