import pytest

from foxtailhatch.cli.main import main
from tests.cli.entry_server import run


@pytest.mark.parametrize('name', [*main.commands, ''])
def test_help_has_an_example(name):
    output = run(*[name] * bool(name), '--help').stdout
    assert 'Example:\n' in output


def test_help_lists_every_exit_code():
    output = run('--help').stdout
    for code in range(6):
        assert f'\n    {code}  ' in output


def test_serve_reports_the_faults_of_its_settings(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('{"instance": 7}')
    invocation = run('serve', '--settings', path)
    assert invocation.exit_code == 2
    assert '$.instance: ' in invocation.stderr
