"""Whatever stands in a settings file: it loads or its faults are named."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailhatch.daemon.settings import parse_settings
from tests.callers.test_fuzz import VALUES
from tests.daemon.test_settings import WHOLE

REPEATED = settings(derandomize=True, deadline=None, max_examples=300)
PLACES = (
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


@REPEATED
@given(st.binary() | VALUES.map(json.dumps).map(str.encode))
def test_any_bytes_load_or_have_faults_with_a_path(raw):
    faults = parse_settings(raw).failure()
    assert faults
    assert all(fault.path.startswith('$') for fault in faults)


@REPEATED
@given(st.sampled_from(PLACES), VALUES)
def test_a_wrong_value_is_named_where_it_stands(place, value):
    document = json.loads(json.dumps(WHOLE))
    inside = document
    for part in place[:-1]:
        inside = inside[part]
    inside[place[-1]] = value
    wrong = '.'.join(('$', *place))
    faults = parse_settings(json.dumps(document).encode()).swap().value_or(())
    for fault in faults:
        path = fault.path
        assert path.startswith(wrong) or wrong.startswith(path)
