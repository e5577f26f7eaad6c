"""Tests of the operator subcommands: publish, show, mark and status."""

import pytest
from returns.result import Failure, Success

from foxtailhatch.callers import (
    EntryRecommendation,
    InvalidDocument,
    MarkRequest,
    OperatorAccess,
    PublishConflict,
)
from foxtailhatch.config import ConfigFault
from foxtailhatch.core import Mark
from tests.callers.test_admin import FakeOperations
from tests.cli.entry_server import run, run_entry_servers

KEY = ('--key', 'operators-key')


@pytest.fixture
def operations():
    return FakeOperations()


@pytest.fixture
def entries(operations):
    access = OperatorAccess(operations, b'operators-key')
    with run_entry_servers(2, access) as (first, second):
        first.gateway.recommendation = EntryRecommendation(
            (second.address,), 30
        )
        yield first, second


@pytest.fixture
def draft(tmp_path):
    path = tmp_path / 'draft.json'
    path.write_text('{"accounts": [{"name": "festoon"}]}')
    return path


def publish(draft, entries, *options):
    return run('publish', draft, '--entry', entries[0].address, *KEY, *options)


def test_publish_replaces_the_version_in_force(draft, entries, operations):
    invocation = publish(draft, entries)
    assert (invocation.exit_code, invocation.stdout) == (
        0,
        'version 4 is accepted\n',
    )
    assert operations.requests[0].made_from == 3
    assert operations.requests[0].document == draft.read_bytes()


def test_publish_waits_until_all_entries_have_the_version(draft, entries):
    for entry in entries:
        entry.observability.version = 4
    invocation = publish(draft, entries, '--wait')
    assert invocation.stdout.endswith('in force at 2 entries\n')


def test_publish_reports_the_entries_without_the_version(draft, entries):
    entries[0].observability.version = 4
    invocation = publish(draft, entries, '--wait', '--wait-s', '0')
    assert invocation.exit_code == 5
    assert entries[1].address in invocation.stderr
    assert entries[0].address not in invocation.stderr


def test_a_conflict_has_its_own_exit_code(draft, entries, operations):
    operations.outcome = Failure(PublishConflict(7))
    invocation = publish(draft, entries, '--made-from', '3')
    assert (invocation.exit_code, invocation.stderr) == (
        4,
        'Version 7 is in force.\n',
    )


def test_faults_reported_by_an_entry_are_shown(draft, entries, operations):
    fault = ConfigFault('models[0]', 'Too large.')
    operations.outcome = Failure(InvalidDocument((fault,)))
    invocation = publish(draft, entries)
    assert invocation.exit_code == 1
    assert 'models[0]: Too large.' in invocation.stderr


def test_a_faulty_file_is_not_sent(draft, entries, operations):
    draft.write_text('{"accounts": [{"name": 5}]}')
    invocation = publish(draft, entries)
    assert invocation.exit_code == 2
    assert invocation.stderr.startswith('$.accounts[0].name: ')
    assert not operations.requests


def test_show_lists_the_version_at_each_entry(entries):
    entries[1].observability.version = 2
    invocation = run('show', '--entry', entries[0].address, *KEY)
    assert f'{entries[0].address} entry-1 version 3' in invocation.stdout
    assert f'{entries[1].address} entry-1 version 2' in invocation.stdout
    assert '"accounts": []' in invocation.stdout


def test_show_refuses_without_the_key(entries):
    invocation = run('show', '--entry', entries[0].address, '--key', 'wrong')
    assert invocation.exit_code == 1


def test_mark_sends_the_mark_to_the_entry(entries, operations):
    operations.outcome = Success(None)
    invocation = run(
        'mark', 'entry-2', 'stop', '--entry', entries[0].address, *KEY
    )
    assert invocation.stdout == 'entry-2 is marked stop\n'
    asked = operations.requests[0]
    assert asked == MarkRequest('entry-2', Mark.STOP, asked.mark_id)


def test_status_shows_the_state_of_the_entry(entries):
    invocation = run('status', '--entry', entries[0].address)
    assert '"configuration_version": 3' in invocation.stdout


def test_an_entry_that_does_not_answer_has_its_own_exit_code(draft):
    assert run('status', '--entry', '127.0.0.1:1').exit_code == 3
    invocation = run('publish', draft, '--entry', '127.0.0.1:1', *KEY)
    assert invocation.exit_code == 3
