import pytest

from foxtailhatch.cli.main import main
from tests.cli.entry_server import run


@pytest.mark.parametrize('name', [*main.commands, ''])
def test_help_has_an_example(name):
    shown = run(*[name] * bool(name), '--help').stdout
    assert 'Example:\n' in shown


def test_help_names_every_exit_code():
    shown = run('--help').stdout
    for code in range(6):
        assert f'\n    {code}  ' in shown


def test_serve_names_the_faults_of_its_settings(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('{"instance": 7}')
    done = run('serve', '--settings', path)
    assert done.exit_code == 2
    assert '$.instance: ' in done.stderr
