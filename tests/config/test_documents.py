import json

import pytest

from foxtailhatch.config.documents import (
    parse_configuration,
    render_configuration,
)

DIGEST = 'a' * 64
VALID = {
    'accounts': [{'name': 'ward', 'weight': 2, 'requests_per_s': 5}],
    'callers': [
        {
            'name': 'ann',
            'account': 'ward',
            'token_sha256': DIGEST,
            'labels': {'team': 'line'},
        },
    ],
    'models': [{'name': 'guide', 'version': 'v1', 'layers': 4}],
    'adapters': [{'name': 'guide-ml', 'model': 'guide'}],
    'services': [
        {
            'name': 'desk',
            'endpoints': {'role': 'desk'},
            'not_repeatable': ['POST /reels'],
        },
    ],
    'endpoints': [
        {
            'name': 'desk-1',
            'address': {'host': '127.0.0.1', 'port': 80},
            'kind': 'service',
            'availability_zone': 'a',
        },
    ],
    'selectors': [{'name': 'all', 'callers': {}, 'targets': {}}],
}


def changed(path, entry):
    document = json.loads(json.dumps(VALID))
    place = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = entry
    return json.dumps(document).encode()


def test_a_rendered_document_parses_to_the_same_configuration():
    cfg = parse_configuration(json.dumps(VALID).encode(), 7).unwrap()
    assert cfg.version == 7
    assert cfg.endpoints[0].address.port == 80
    assert parse_configuration(render_configuration(cfg), 7).unwrap() == cfg


@pytest.mark.parametrize(
    ('path', 'entry', 'fault'),
    [
        (('callers', 0, 'account'), 'depot', 'callers[0].account'),
        (('callers', 0, 'token_sha256'), 'xyz', 'callers[0].token_sha256'),
        (('adapters', 0, 'model'), 'other', 'adapters[0].model'),
        (('models', 0, 'layers'), 0, 'models[0].layers'),
        (('models', 0, 'layers'), '4', 'models[0].layers'),
        (('adapters', 0, 'name'), 'guide', 'adapters[0].name'),
        (('endpoints', 0, 'address', 'host'), 'desk.example',
         'endpoints[0].address.host'),
        (('selectors', 0, 'prioritty'), 3, 'selectors[0].prioritty'),
        (('accounts',), 5, 'accounts'),
    ],
)  # fmt: skip
def test_a_fault_has_the_json_path_of_its_value(path, entry, fault):
    faults = parse_configuration(changed(path, entry)).failure()
    assert fault in [each.path for each in faults]


def test_reference_faults_are_reported_beside_malformed_entries():
    document = dict(VALID, accounts=[{'name': 'ward', 'weight': -1}])
    document['adapters'] = [{'name': 'x', 'model': 'gone'}]
    document['callers'] = [*VALID['callers'], dict(VALID['callers'][0])]
    faults = parse_configuration(json.dumps(document).encode()).failure()
    assert [fault.path for fault in faults] == [
        'accounts[0].weight',
        'callers[1].name',
        'callers[1].token_sha256',
        'adapters[0].model',
    ]


@pytest.mark.parametrize('raw', [b'', b'[]', b'\xff', b'{"accounts": ['])
def test_input_that_is_not_an_object_has_the_root_path(raw):
    assert parse_configuration(raw).failure()[0].path == '$'
