"""Demand of this entry and of all others."""

import pytest

from foxtailhatch.fleet.demand import (
    DEMAND_TTL_S,
    MAX_REPORTED_ACCOUNTS,
    RATE_WINDOW_S,
    DemandEstimate,
    DemandSum,
    DemandTable,
    OwnDemand,
    RankDemand,
    ServiceDemand,
)

RUNNING = {'model': ServiceDemand({0: RankDemand(running=2)}, {'crew': 900})}


def rank(own, now, number=0):
    report = own.report(now).get('model', ServiceDemand())
    return report.ranks.get(number, RankDemand())


# Guards against rates that count requests of long ago.
def test_rates_are_over_the_last_two_seconds():
    own = OwnDemand()
    for tenth in range(60):
        own.record_start('model', 0, 'crew', 800, tenth / 10)
        own.record_refusal('model', 0, tenth / 10)
    now = 5.9
    demand = rank(own, now)
    assert demand.starts_per_s == pytest.approx(10, rel=0.05)
    assert demand.refusals_per_s == pytest.approx(10, rel=0.05)
    assert demand.tokens_per_s == pytest.approx(8000, rel=0.05)
    assert rank(own, now + RATE_WINDOW_S / 2).starts_per_s < 6
    assert rank(own, now + RATE_WINDOW_S + 0.1).starts_per_s == 0


# Guards against rates that span a freeze of the event loop, in which no request
# was taken.
def test_rates_start_afresh_after_a_freeze():
    own = OwnDemand()
    for _ in range(40):
        own.record_start('model', 0, 'crew', 800, 10.0)
    own.record_start('model', 0, 'crew', 800, 22.0)
    assert rank(own, 22.0).starts_per_s == 1 / RATE_WINDOW_S
    assert rank(own, 22.0).running == 41


# Guards against work that is counted after its end.
def test_end_reverses_a_start():
    own = OwnDemand()
    own.record_start('model', 1, 'crew', 800, 0)
    own.record_start('model', 1, 'guest', 100, 0)
    own.record_end('model', 1, 'crew', 800)
    report = own.report(0)['model']
    assert report.ranks[1].running == 1
    assert report.accounts == {'guest': 100}
    own.record_end('model', 1, 'guest', 100)
    assert own.report(RATE_WINDOW_S + 1) == {}


# Guards against a negative number, which other entries would drop.
def test_end_without_a_start_is_ignored():
    own = OwnDemand()
    own.record_end('model', 0, 'crew', 800)
    assert own.report(0) == {}


# Guards against ranks that are mixed up.
def test_waiting_and_crossings_are_reported_by_rank_and_service():
    own = OwnDemand()
    own.set_waiting('model', 2, 7)
    own.record_crossing('other', 0, hops=4)
    report = own.report(0)
    assert report['model'].ranks == {2: RankDemand(waiting=7)}
    assert report['other'].crossings_per_s == 4 / RATE_WINDOW_S
    own.set_waiting('model', 2, 0)
    assert 'model' not in own.report(0)


# Guards against a report that grows with the number of client accounts.
def test_only_accounts_with_the_most_tokens_are_reported():
    own = OwnDemand()
    for number in range(580):
        own.record_start('model', 0, f'a{number}', number, 0)
    accounts = own.report(0)['model'].accounts
    assert set(accounts) == {
        f'a{number}' for number in range(580 - MAX_REPORTED_ACCOUNTS, 580)
    }
    assert own.running_tokens('model')['a1'] == 1


# Guards against decisions by sums that are no longer valid.
def test_sums_are_valid_for_two_seconds():
    table = DemandTable()
    assert not table.is_fresh(0)
    table.update({'z1': RUNNING}, 10)
    assert table.is_fresh(10 + DEMAND_TTL_S)
    assert not table.is_fresh(10 + DEMAND_TTL_S + 0.01)
    assert DEMAND_TTL_S == 2


# Guards against sums that outlive those of their source.
def test_sums_are_dropped_with_those_of_the_source():
    table = DemandTable()
    table.update({'z1': RUNNING}, 10)
    table.invalidate()
    assert not table.is_fresh(10)
    assert table.at('z1', 'model') == ServiceDemand()


# Guards against other zones that seem idle while nothing is known of them.
def test_without_sums_each_of_the_others_has_the_same_demand():
    table = DemandTable()
    table.update({'z2': {'model': ServiceDemand({0: RankDemand(9)})}}, 0)
    estimate = DemandEstimate('z1', RUNNING, table, {'z1': 3, 'z2': 4}, now=5)
    assert estimate.at('z1', 'model').ranks[0].running == 6
    assert estimate.at('z2', 'model').ranks[0] == RankDemand(running=8)
    assert estimate.at('z3', 'model').total == RankDemand()


# Guards against an entry that leaves out its own demand when it is not listed.
def test_own_demand_counts_before_this_entry_is_listed():
    estimate = DemandEstimate('z1', RUNNING, DemandTable(), {}, now=5)
    assert estimate.at('z1', 'model').ranks[0].running == 2


# Guards against own demand that is left out, or counted in another zone.
def test_valid_sums_are_completed_by_own_demand():
    table = DemandTable()
    others = {'model': ServiceDemand({0: RankDemand(running=5)})}
    table.update({'z1': others, 'z2': others}, 0)
    estimate = DemandEstimate('z1', RUNNING, table, {'z1': 3, 'z2': 4}, now=1)
    assert estimate.at('z1', 'model').ranks[0].running == 7
    assert estimate.at('z2', 'model').ranks[0].running == 5


# Guards against negative sums if a report has grown since it was added up.
def test_difference_is_never_negative():
    less = ServiceDemand({0: RankDemand(1, 1, 1, 1, 1)}, {'a': 5, 'b': 1}, 1)
    more = ServiceDemand({0: RankDemand(2, 0, 2, 2, 2)}, {'a': 9}, 3)
    left = less.without(more)
    assert left.ranks[0] == RankDemand(running=1)
    assert (left.accounts, left.crossings_per_s) == ({'b': 1}, 0)


# Guards against sums that change the reports they are made of.
def test_sum_does_not_change_its_parts():
    part = ServiceDemand({0: RankDemand(running=1)}, {'a': 5}, 2)
    total = DemandSum()
    total.add(part)
    total.add(part, factor=2)
    assert total.result() == part.times(3)
    assert part == ServiceDemand({0: RankDemand(running=1)}, {'a': 5}, 2)
