import json

import pytest

from foxtailhatch.cli.check import detect_kind
from tests.cli.entry_server import run

SETTINGS = {'instance': 7, 'region': 'kalahari'}


def check(path, text, *options):
    path.write_text(text)
    return run('check', path, *options)


def test_every_fault_of_settings_is_one_line(tmp_path):
    invocation = check(tmp_path / 'settings.json', json.dumps(SETTINGS))
    assert invocation.exit_code == 2
    lines = invocation.stderr.splitlines()
    assert lines[0] == '$.instance: Input should be a valid string'
    assert '$.listen: Field required' in lines


def test_every_fault_of_a_configuration_is_one_line(tmp_path):
    text = '{"accounts": [{"name": 5}], "colour": 3}'
    invocation = check(tmp_path / 'configuration.json', text)
    assert invocation.exit_code == 2
    paths = [line.split(':')[0] for line in invocation.stderr.splitlines()]
    assert paths == ['$.accounts[0].name', '$.colour']


def test_a_valid_file_is_reported_as_valid(tmp_path):
    invocation = check(tmp_path / 'c.json', '{}')
    assert (invocation.exit_code, invocation.stdout) == (
        0,
        f'{tmp_path}/c.json: valid configuration\n',
    )


def test_the_kind_option_overrides_detection(tmp_path):
    assert check(tmp_path / 'c.json', '{}', '--as', 'settings').exit_code == 2


@pytest.mark.parametrize('text', ['', '[', '3', '[' * 100_000])
def test_a_file_that_is_not_a_document_is_a_fault(tmp_path, text):
    invocation = check(tmp_path / 'c.json', text)
    assert invocation.exit_code == 2
    assert invocation.stderr.startswith('$')


def test_an_unreadable_file_is_a_fault(tmp_path):
    assert run('check', tmp_path / 'none.json').exit_code == 2


def test_one_settings_field_determines_the_kind():
    assert detect_kind(b'{"instance": 3, "models": []}') == 'settings'
