"""The files in ``examples/`` load and agree with their documentation."""

import hashlib
from pathlib import Path

import pytest

from foxtailhatch.config import (
    evaluate_access,
    find_caller,
    index_configuration,
    parse_configuration,
    requires_at_most_once,
)
from foxtailhatch.daemon.settings import load_settings

EXAMPLES = Path(__file__).parent.parent / 'examples'
USERS = (
    ('thrissur', {'thrissur-a', 'irinjalakuda-b', 'chalakudy-c'}),
    ('kalahari', {'whk-a', 'whk-b', 'okh-c'}),
)


def configuration(user):
    raw = (EXAMPLES / user / 'configuration.json').read_bytes()
    return parse_configuration(raw, 1).unwrap()


@pytest.mark.parametrize(('user', 'zones'), USERS)
def test_settings_and_configuration_load(user, zones):
    cfg = load_settings(EXAMPLES / user / 'settings.json').unwrap()
    assert cfg.availability_zone in zones
    published = configuration(user)
    zones_of_endpoints = {
        each.availability_zone for each in published.endpoints
    }
    assert zones_of_endpoints == zones
    assert len(published.accounts) == 10


@pytest.mark.parametrize(('user', 'zones'), USERS)
def test_caller_tokens_follow_the_documented_scheme(user, zones):
    for caller in configuration(user).callers:
        token = f'example-token-{caller.name}'.encode()
        assert caller.token_sha256 == hashlib.sha256(token).hexdigest()


CALLS = (
    ('thrissur', 'line-crew-1', 'store-desk', 'POST /bookings', True),
    ('thrissur', 'line-crew-1', 'store-desk', 'GET /bookings', False),
    ('kalahari', 'co-op-gobabis', 'depot-app', 'POST /reorders', True),
    ('kalahari', 'probes-north', 'depot-app', 'POST /readings', False),
)


@pytest.mark.parametrize('call', CALLS)
def test_bookings_and_reorders_run_at_most_once(call):
    user, name, target, operation, at_most_once = call
    index = index_configuration(configuration(user))
    caller = find_caller(index, f'example-token-{name}')
    granted = evaluate_access(index, caller, target)
    method, path = operation.split()
    service = index.targets[target]
    assert requires_at_most_once(service, granted, method, path) is at_most_once
