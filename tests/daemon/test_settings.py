import json

import pytest

from foxtailhatch.core import Address
from foxtailhatch.daemon.secrets import read_secrets
from foxtailhatch.daemon.settings import load_settings, parse_settings

LOCAL_ADDRESS = {'host': '127.0.0.1', 'port': 0}
VALID_SETTINGS = {
    'instance': 'thrissur-entry-1',
    'region': 'thrissur',
    'availability_zone': 'thrissur-a',
    'listen': {'callers': LOCAL_ADDRESS, 'peers': LOCAL_ADDRESS},
    'platform': {
        'log': LOCAL_ADDRESS,
        'instance_list': LOCAL_ADDRESS,
        'weight_store': LOCAL_ADDRESS,
    },
    'secrets': {'peer_key': {'environment': 'PEER_KEY'}},
}


def parse(**changes):
    return parse_settings(json.dumps({**VALID_SETTINGS, **changes}).encode())


def paths(**changes):
    return [fault.path for fault in parse(**changes).failure()]


def test_minimal_settings_get_defaults():
    cfg = parse().unwrap()
    assert cfg.listen.callers.address() == Address('127.0.0.1', 0)
    assert (cfg.advertise, cfg.seeds) == (None, ())


FAULTS = (
    ({'region': 3}, '$.region'),
    ({'colour': 'red'}, '$.colour'),
    (
        {'seeds': [LOCAL_ADDRESS, {'host': 'localhost', 'port': 1}]},
        '$.seeds[1].host',
    ),
    ({'timeouts': {'log_call_s': 0}}, '$.timeouts.log_call_s'),
    ({'secrets': {'peer_key': {}}}, '$.secrets.peer_key'),
    ({'limits': {'body_bytes': 1.5}}, '$.limits.body_bytes'),
)


@pytest.mark.parametrize(('changes', 'path'), FAULTS)
def test_fault_is_reported_with_its_path(changes, path):
    assert paths(**changes) == [path]


def test_all_faults_are_reported():
    result = paths(region=3, colour='red')
    assert result == ['$.region', '$.colour']


def test_missing_file_is_reported(tmp_path):
    assert load_settings(tmp_path / 'none.json').failure()[0].path == '$'


def test_secrets_are_read_from_file_and_environment(tmp_path):
    (tmp_path / 'key').write_bytes(b'0123456789abcdef\n')
    secrets = {
        'peer_key': {'environment': 'PEER_KEY'},
        'operator_key': {'file': str(tmp_path / 'key')},
    }
    cfg = parse(secrets=secrets).unwrap()
    result = read_secrets(cfg, {'PEER_KEY': 'fedcba9876543210'}).unwrap()
    assert result.peer_key == b'fedcba9876543210'
    assert result.operator_key == b'0123456789abcdef'
    assert '0123' not in repr(result)


def test_absent_secret_is_refused():
    fault = read_secrets(parse().unwrap(), {}).failure()
    assert fault.path == '$.secrets.peer_key'
