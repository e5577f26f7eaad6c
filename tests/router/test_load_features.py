"""For which services the load features are in force."""

from dataclasses import replace

from foxtailhatch.fleet import EndpointState
from foxtailhatch.router import load_features
from foxtailhatch.router.load_features import (
    LoadFeatures,
    has_ordered_admission,
    may_balance,
    urgency_ranks,
)
from foxtailhatch.routes import Account, RoutingTable, ServiceShare
from tests.fleet.endpoints import endpoint
from tests.router.fakes import board, engine
from tests.routes.configurations import configuration, route


def routes(*priorities, service='model'):
    return [
        replace(
            route(f'r{number}', f'/{number}/', service=service),
            priority=priority,
        )
        for number, priority in enumerate(priorities)
    ]


def table(*priorities, accounts=(), service='model', version=1):
    return RoutingTable(
        configuration(version, routes(*priorities, service=service), accounts)
    )


# Guards against admission control where the configuration does not ask for it.
def test_order_needs_a_model_service_with_two_priorities():
    assert has_ordered_admission(table(0, 1), 'model')
    assert not has_ordered_admission(table(1, 1), 'model')
    assert not has_ordered_admission(table(), 'model')
    assert not has_ordered_admission(table(0, 1, service='plain'), 'plain')
    assert not has_ordered_admission(table(0, 1), 'unheard')


def test_shares_without_weight_do_not_count():
    unused = replace(routes(0)[0], shares=(ServiceShare('model', 0),))
    known = RoutingTable(configuration(routes=[unused, *routes(1)]))
    assert not has_ordered_admission(known, 'model')


# Guards against balancing that ends whenever the engines of a zone fail.
def test_balancing_needs_engines_in_two_zones():
    state = board()
    endpoints = state.endpoints
    endpoints.put(engine('e1', zone='z1'), 0)
    endpoints.put(endpoint('p1', 'plain', 'z1'), 0)
    endpoints.put(endpoint('p2', 'plain', 'z2'), 0)
    assert not may_balance(state.table, 'model', endpoints)
    assert not may_balance(state.table, 'plain', endpoints)
    far = replace(engine('e2', zone='z2'), state=EndpointState.DRAINING)
    endpoints.put(far, 0)
    assert may_balance(state.table, 'model', endpoints)
    endpoints.mark_dead('e2', far.incarnation, 0)
    assert may_balance(state.table, 'model', endpoints)


# Guards against ranks that differ between entries, or in their order.
def test_ranks_are_pairs_with_the_priority_of_accounts_first():
    accounts = [Account('a', ('k',), 1), Account('b', ('l',), None)]
    assert urgency_ranks(table(0, 2, 2), 'model') == ((0, 0), (2, 2))
    assert urgency_ranks(table(0, 2, accounts=accounts), 'model') == (
        (0, 0),
        (1, 0),
        (1, 2),
        (2, 2),
    )


def features_of(state):
    return LoadFeatures(lambda: state.table, state.endpoints)


def test_rank_of_a_request_by_the_configuration_in_force():
    state = board(cfg=configuration(routes=routes(0, 4, 7)))
    features = features_of(state)
    assert [features.rank('model', one, one) for one in (0, 4, 7)] == [0, 1, 2]
    # Pairs of an earlier configuration.
    assert features.rank('model', 5, 5) == 2
    assert features.rank('model', 9, 9) == 2
    assert features.rank_count('model') == 3
    state.table = table(4, 7, version=2)
    assert features.rank('model', 4, 4) == 0


# Guards against features that stay as they were at the start.
def test_features_follow_configuration_and_endpoints():
    state = board()
    features = features_of(state)
    assert features.reporting_services == frozenset()
    state.table = table(0, 1, version=2)
    assert features.has_ordered_admission('model')
    assert features.reports_demand('model')
    state.table = table(1, version=3)
    assert not features.reports_demand('model')
    state.endpoints.put(engine('e1', zone='z1'), 0)
    state.endpoints.put(engine('e2', zone='z2'), 0)
    assert features.may_balance('model')
    assert features.reporting_services == {'model'}
    state.endpoints.remove('e2', 0)
    assert not features.may_balance('model')


def test_nothing_is_in_force_without_a_configuration():
    features = features_of(board(has_configuration=False))
    assert not features.reports_demand('model')
    assert features.rank('model', 3, 3) == 0


# Guards against a search of routes and endpoints with each request.
def test_features_are_kept_while_nothing_changes(monkeypatch):
    state = board(cfg=configuration(routes=routes(0, 1)))
    state.endpoints.put(engine('e1'), 0)
    features = features_of(state)
    calls = []
    for name in ('has_ordered_admission', 'may_balance', 'urgency_ranks'):
        original = getattr(load_features, name)
        monkeypatch.setattr(
            load_features,
            name,
            lambda *args, call=original: calls.append(call) or call(*args),
        )
    for _ in range(50):
        features.reports_demand('model')
        features.rank('model', 0, 0)
    services = len(state.table.services)
    assert len(calls) == 2 * services + 1
