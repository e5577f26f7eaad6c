"""Decode the platform's settings, configuration, endpoints and reports."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState
from foxtailhatch.platform.configuration import decode_configuration
from foxtailhatch.platform.endpoints import decode_endpoint, decode_report
from foxtailhatch.platform.settings import decode_settings
from foxtailhatch.routes import RouteKind

ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/a/',
    'route_kind': 'streaming',
    'timeout_ms': 20_000,
    'target_latency_ms': 500,
    'priority': 1,
    'split': [{'service': 's', 'weight': 90}, {'service': 't', 'weight': 10}],
    'max_attempts': 2,
    'public': False,
    'resumable': True,
    'target_gap_ms': 200,
    'new_field': [1],
}
ENGINE = {
    'slots': 96,
    'kv_bytes': 852_000,
    'step_ms': 0.85,
    'layers': 80,
    'layer_mb': 1750.0,
    'models': [{'name': 'm', 'load_s': 14.0}],
    'kinds': [
        {'name': 'l4', 'size_mb': 21_600, 'pace': 16, 'read_factor': 8.2},
    ],
}
DOCUMENT = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 's', 'engine': ENGINE}, {'name': 't'}],
    'tenants': [{'name': 'crew', 'api_keys': ['k'], 'priority': 3}],
}
ENDPOINT_RECORD = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 96,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
    'born': 17,
    'layers': {'from': 3, 'to': 9, 'version': 1},
    'route_kind': 'l4',
}


def decoded(**changes):
    raw = json.dumps(DOCUMENT | changes).encode()
    return decode_configuration(raw).unwrap()


def test_route_is_decoded():
    route = decoded().routes[0]
    assert route.kind is RouteKind.STREAM
    assert (route.timeout_s, route.max_gap_s) == (20, 0.2)
    assert [share.weight for share in route.shares] == [90, 10]


def test_engine_and_its_accelerators_are_decoded():
    engine = decoded().services[0].engine
    assert engine.layer_count == 80
    assert engine.accelerators['l4'].memory_mb == 21_600
    assert engine.load_s == 14


def test_rate_of_the_link_between_zones_is_decoded():
    services = [{'name': 's', 'engine': ENGINE | {'pipe_mbps': 2720}}]
    engine = decoded(services=services).services[0].engine
    assert engine.zone_link_bytes_per_s == 340e6
    assert decoded().services[0].engine.zone_link_bytes_per_s is None


def test_unknown_route_kind_is_not_repeatable():
    result = decoded(routes=[ROUTE | {'route_kind': 'new', 'resumable': False}])
    assert not result.routes[0].may_repeat


def test_without_client_accounts_no_keys_are_checked():
    document = {key: DOCUMENT[key] for key in ('version', 'routes', 'services')}
    result = decode_configuration(json.dumps(document).encode()).unwrap()
    assert not result.checks_keys
    assert decoded().checks_keys


def test_malformed_configuration_is_a_failure():
    assert decode_configuration(b'{').failure()


def endpoint(**changes):
    return decode_endpoint(
        'i-1', json.dumps(ENDPOINT_RECORD | changes).encode()
    )


def test_endpoint_record_is_decoded():
    result = endpoint().unwrap()
    assert result.layers == LayerRange(3, 9)
    assert (result.accelerator_kind, result.incarnation) == ('l4', 17)
    assert result.heartbeats == 4


def test_draining_state_is_decoded():
    assert endpoint(state='draining').unwrap().state is EndpointState.DRAINING


@pytest.mark.parametrize(
    'changes',
    [
        {'address': 17},
        {'address': 'nowhere'},
        {'state': 'dreaming'},
        {'service': None},
        {'zone': []},
        {'slots': 'many'},
    ],
)
def test_invalid_endpoint_record_is_a_failure(changes):
    assert endpoint(**changes).failure()


LISTED = (
    'service',
    'address',
    'zone',
    'version',
    'slots',
    'state',
    'cold_left_ms',
    'seq',
)


# Guards against another writer's record that takes the place of an endpoint's.
@pytest.mark.parametrize('name', LISTED)
def test_record_without_a_listed_field_is_not_an_endpoints_own(name):
    record = {key: text for key, text in ENDPOINT_RECORD.items() if key != name}
    assert decode_endpoint('i-1', json.dumps(record).encode()).failure()


@pytest.mark.parametrize('name', LISTED)
@pytest.mark.parametrize('other', [None, [], {}, True, -1])
def test_record_with_a_listed_field_of_another_type_is_neither(name, other):
    assert endpoint(**{name: other}).failure()


@pytest.mark.parametrize('version', ['v1', 3])
def test_version_of_the_software_is_a_text_or_a_number(version):
    assert endpoint(version=version).unwrap().name == 'i-1'


# Guards against names that end the connection of a caller, as they cannot be sent.
@pytest.mark.parametrize(
    'name', ['i-\u20ac', 'i-1\r\nX: y', 'i\x00', 'i-\U0001f600']
)
def test_name_that_no_header_can_hold_is_a_failure(name):
    raw = json.dumps(ENDPOINT_RECORD).encode()
    assert decode_endpoint(name, raw).failure()


@given(st.binary())
def test_arbitrary_bytes_never_raise(raw):
    decode_endpoint('i-1', raw)
    decode_report(raw)
    decode_configuration(raw)


def test_load_report_is_decoded():
    raw = json.dumps(
        {
            'phase': 'both',
            'busy': True,
            'seq': 2,
            'active': 12,
            'queued': 1,
            'kv_used': 10,
            'kv_total': 20,
            'layers': {'from': 0, 'to': 4, 'version': 1},
            'stalled': [{'id': 'q', 'address': '10.0.0.2:80'}],
        },
    ).encode()
    result = decode_report(raw).unwrap()
    assert result.is_busy
    assert (result.orders, result.running) == (2, 12)
    assert result.stalled[0].address == '10.0.0.2:80'


SETTINGS = """
node_name=edge-1
ip=10.1.0.40
zone=z1
region=here
zones.z1=here
zones.z2=there
listen.front=10.1.0.40:8227
platform.address=10.200.1.7:8223
bounds.revoke_ms=5000
bounds.ttl_max_s=5
new.field=1
"""


def test_settings_are_decoded():
    cfg = decode_settings(SETTINGS, 7355).unwrap()
    assert cfg.zones == {'z1': 'here', 'z2': 'there'}
    assert cfg.bounds.revocation_s == 5
    assert cfg.metrics_address == '10.1.0.40:7355'
    assert cfg.advice_address == ''


# Guards against a link rate that is announced although none is set.
def test_link_rate_is_read_if_it_is_set():
    assert decode_settings(SETTINGS, 0).unwrap().link_mbps == 0
    text = f'{SETTINGS}\nlimits.link_mbps=12.5\n'
    assert decode_settings(text, 0).unwrap().link_mbps == 12.5
    faulty = f'{SETTINGS}\nlimits.link_mbps=fast\n'
    assert 'limits.link_mbps' in decode_settings(faulty, 0).failure()


def test_setting_with_a_malformed_number_is_named():
    text = SETTINGS.replace('revoke_ms=5000', 'revoke_ms=soon')
    assert 'bounds.revoke_ms' in decode_settings(text, 0).failure()


# Guards against processes that end, or stop following the list, by one odd entry.
@pytest.mark.parametrize(
    'changes',
    [
        {'address': '10.0.0.1:65536'},
        {'address': '10.0.0.1:99999999999999999999'},
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:-80'},
        {'address': '10.0.0.1:\u00b2'},
        {'address': '10.0.0.1\x00:80'},
        {'address': 'host.example:80'},
        {'address': '10.0.0.256:80'},
        {'born': 10**40},
        {'born': -1},
        {'seq': 2**63},
        {'slots': 10**30},
        {'slots': -1},
        {'layers': {'from': 0, 'to': 10**30}},
        {'layers': {'from': -5, 'to': 3}},
        {'layers': {'from': False, 'to': True}},
    ],
)
def test_entry_with_a_number_out_of_range_names_no_endpoint(changes):
    assert endpoint(**changes).failure()


@pytest.mark.parametrize(
    'raw',
    [
        b'[' * 1_000_000,
        b'{"layers":' + b'[' * 100_000 + b']' * 100_000 + b'}',
        b'{"a":' * 50_000 + b'1' + b'}' * 50_000,
        b'{"born":' + b'9' * 100_000 + b'}',
        b'{"born":1e999}',
        b'{"service":"\\ud800"}',
        b'\xff\xfe',
    ],
)
def test_deeply_nested_and_unreadable_entries_are_a_failure(raw):
    assert decode_endpoint('i-1', raw).failure()
    assert decode_report(raw).failure()


def test_report_with_layers_out_of_range_has_none():
    raw = json.dumps({'layers': {'from': 0, 'to': 10**30}}).encode()
    assert decode_report(raw).unwrap().layers is None


def test_unknown_setting_is_ignored():
    known = decode_settings(SETTINGS, 7355)
    assert decode_settings(f'{SETTINGS}\nlater.setting=1\n', 7355) == known


def test_unknown_fields_of_the_configuration_are_ignored():
    engine = ENGINE | {'later': 1}
    services = [{'name': 's', 'engine': engine, 'later': {}}, {'name': 't'}]
    assert decoded(services=services, later=[2]) == decoded()


def test_unknown_fields_of_an_endpoint_are_ignored():
    raw = json.dumps(ENDPOINT_RECORD | {'later': [1]}).encode()
    known = decode_endpoint('e1', json.dumps(ENDPOINT_RECORD).encode())
    assert decode_endpoint('e1', raw) == known


def test_heartbeats_of_an_endpoint_are_told_apart():
    """A record that is kept decoded must not bring an old heartbeat back."""
    for number in (1, 2, 900_000):
        raw = json.dumps(ENDPOINT_RECORD | {'seq': number}).encode()
        assert decode_endpoint('i-1', raw).unwrap().heartbeats == number


def test_number_inside_another_object_is_no_heartbeat():
    """Equal names in a record must not be taken for the number of its writer."""
    document = ENDPOINT_RECORD | {'models': [{'name': 'm', 'seq': 7}]}
    document.pop('seq')
    raw = json.dumps(document).encode()
    assert decode_endpoint('i-1', raw).failure()


@pytest.mark.parametrize('number', ['04', '4.5', '4e3', '-4', '"4"'])
def test_heartbeat_that_is_no_count_is_refused(number):
    """Only plain counts may skip the check of the whole record."""
    raw = json.dumps(ENDPOINT_RECORD)
    changed = raw.replace('"seq": 4', f'"seq": {number}')
    assert changed != raw
    assert isinstance(decode_endpoint('i-1', changed.encode()), Failure)
