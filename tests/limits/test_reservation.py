"""Which requests are the urgent ones, and what is kept free for them."""

from dataclasses import replace

import pytest

from foxtailhatch.limits.reservation import UrgencyRanks
from foxtailhatch.routes import Account, RoutingTable, ServiceShare
from tests.routes.configurations import MODEL, configuration, route


def routes(*priorities, public=False):
    return [
        replace(
            route(name=f'r{priority}', service='model', public=public),
            priority=priority,
        )
        for priority in priorities
    ]


# Guards against a less urgent kind that takes what more urgent ones need.
@pytest.mark.parametrize(
    ('count', 'limits'),
    [(2, [1, 0.7]), (3, [1, 0.85, 0.7]), (4, [1, 0.9, 0.8, 0.7])],
)
def test_limits_are_evenly_spaced_down_to_the_last_rank(count, limits):
    ranks = UrgencyRanks.of([(number, number) for number in range(count)])
    found = [ranks.fill_limit(rank) for rank in range(count)]
    assert found == pytest.approx(limits)


def test_account_decides_first_and_route_among_equals():
    ranks = UrgencyRanks.of([(0, 5), (5, 5), (0, 1), (1, 1)])
    order = [(0, 1), (0, 5), (1, 1), (5, 5)]
    assert [ranks.rank_of(*pair) for pair in order] == [0, 1, 2, 3]


# Guards against a failure or an urgent rank for what the table lacks.
def test_unknown_pair_has_the_rank_of_the_next_less_urgent_one():
    ranks = UrgencyRanks.of([(0, 0), (2, 2)])
    assert ranks.rank_of(1, 1) == 1
    assert ranks.rank_of(9, 9) == 1
    assert UrgencyRanks.of([]).rank_of(3, 3) == 0


def test_service_with_one_priority_has_no_ordered_admission():
    cfg = configuration(routes=routes(1), accounts=[Account('a', ('k',), 0)])
    assert RoutingTable(cfg).ordered_ranks('model') is None


def test_ranks_come_from_the_routes_and_accounts_of_the_service():
    accounts = [Account('a', ('k',), 0), Account('b', ('l',), None)]
    cfg = configuration(routes=routes(1, 2), accounts=accounts)
    ranks = RoutingTable(cfg).ordered_ranks('model')
    assert ranks.pairs == ((0, 1), (0, 2), (1, 1), (2, 2))


def test_accounts_give_no_rank_to_public_routes():
    accounts = [Account('a', ('k',), 0)]
    cfg = configuration(routes=routes(1, 2, public=True), accounts=accounts)
    ranks = RoutingTable(cfg).ordered_ranks('model')
    assert ranks.pairs == ((1, 1), (2, 2))


def test_route_without_a_share_does_not_count():
    split = [
        replace(one, shares=(ServiceShare('model', one.priority - 1),))
        for one in routes(1, 2)
    ]
    table = RoutingTable(configuration(routes=split))
    assert table.ordered_ranks('model') is None


# Plain services, and models that one endpoint holds, have no chains.
@pytest.mark.parametrize('engine', [None, replace(MODEL.engine, layer_count=0)])
def test_service_without_chains_has_no_ordered_admission(engine):
    service = replace(MODEL, engine=engine)
    cfg = configuration(routes=routes(1, 2), services=[service])
    assert RoutingTable(cfg).ordered_ranks('model') is None
