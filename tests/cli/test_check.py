import json

import pytest

from foxtailhatch.cli.check import kind_of
from tests.cli.entry_server import run

SETTINGS = {'instance': 7, 'region': 'kalahari'}


def check(path, text, *options):
    path.write_text(text)
    return run('check', path, *options)


def test_every_fault_of_settings_is_one_line(tmp_path):
    done = check(tmp_path / 'settings.json', json.dumps(SETTINGS))
    assert done.exit_code == 2
    lines = done.stderr.splitlines()
    assert lines[0] == '$.instance: Input should be a valid string'
    assert '$.listen: Field required' in lines


def test_every_fault_of_a_configuration_is_one_line(tmp_path):
    text = '{"accounts": [{"name": 5}], "colour": 3}'
    done = check(tmp_path / 'configuration.json', text)
    assert done.exit_code == 2
    paths = [line.split(':')[0] for line in done.stderr.splitlines()]
    assert paths == ['$.accounts[0].name', '$.colour']


def test_a_valid_file_is_said_to_be_so(tmp_path):
    done = check(tmp_path / 'c.json', '{}')
    assert (done.exit_code, done.stdout) == (
        0,
        f'{tmp_path}/c.json: valid configuration\n',
    )


def test_the_kind_may_be_given(tmp_path):
    assert check(tmp_path / 'c.json', '{}', '--as', 'settings').exit_code == 2


@pytest.mark.parametrize('text', ['', '[', '3', '[' * 100_000])
def test_what_is_no_document_is_a_fault(tmp_path, text):
    done = check(tmp_path / 'c.json', text)
    assert done.exit_code == 2
    assert done.stderr.startswith('$')


def test_a_file_that_cannot_be_read_is_a_fault(tmp_path):
    assert run('check', tmp_path / 'none.json').exit_code == 2


def test_one_field_of_settings_tells_the_kind():
    assert kind_of(b'{"instance": 3, "models": []}') == 'settings'
