"""Any settings file either loads or yields faults with a path."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailhatch.daemon.settings import parse_settings
from tests.callers.test_fuzz import VALUES
from tests.daemon.test_settings import VALID_SETTINGS

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)
PATHS = (
    ('instance',),
    ('listen',),
    ('listen', 'callers'),
    ('listen', 'peers', 'port'),
    ('platform', 'log', 'host'),
    ('secrets', 'peer_key', 'environment'),
    ('timeouts',),
    ('seeds',),
    ('limits',),
    ('colour',),
)


@DETERMINISTIC
@given(st.binary() | VALUES.map(json.dumps).map(str.encode))
def test_arbitrary_bytes_yield_faults_with_a_path(raw):
    faults = parse_settings(raw).failure()
    assert faults
    assert all(fault.path.startswith('$') for fault in faults)


@DETERMINISTIC
@given(st.sampled_from(PATHS), VALUES)
def test_fault_path_points_to_the_replaced_value(path_parts, value):
    document = json.loads(json.dumps(VALID_SETTINGS))
    parent = document
    for part in path_parts[:-1]:
        parent = parent[part]
    parent[path_parts[-1]] = value
    expected_path = '.'.join(('$', *path_parts))
    faults = parse_settings(json.dumps(document).encode()).swap().value_or(())
    for fault in faults:
        path = fault.path
        assert path.startswith(expected_path) or expected_path.startswith(path)
