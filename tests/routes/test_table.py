from foxtailhatch.routes import Account, RoutingTable
from tests.routes.configurations import configuration, route


def table(*routes, accounts=()):
    return RoutingTable(configuration(routes=routes, accounts=accounts))


def test_longest_prefix_wins():
    match = table(route('wide', '/a/'), route('deep', '/a/b/')).route(
        'host.example',
        '/a/b/c',
    )
    assert match.name == 'deep'


def test_prefix_ends_at_a_slash():
    assert table(route('r', '/a/')).route('host.example', '/ab/c') is None


def test_query_is_ignored():
    routes = table(route('wide', '/a/'), route('deep', '/a/b/'))
    assert routes.route('host.example', '/a/x?y=/a/b/').name == 'wide'


def test_host_matches_case_insensitively_and_with_a_port():
    routes = table(route('r', '/a/'))
    assert routes.route('HOST.example:80', '/a/x').name == 'r'


def test_unknown_host_has_no_route():
    assert table(route('r', '/')).route('other.example', '/a') is None


def test_account_is_found_by_each_of_its_keys():
    account = Account('crew', ('k1', 'k2'), None)
    routes = table(accounts=(account,))
    assert routes.account('k2') == account
    assert routes.account('k3') is None
