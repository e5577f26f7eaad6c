import json

from foxtailhatch.config.changes import apply_changes, render_changes
from foxtailhatch.config.configuration import (
    Account,
    CallerEntry,
    Configuration,
)
from foxtailhatch.config.diff import diff_configurations

WARD = Account('ward')
CALLERS = tuple(
    CallerEntry(f'caller-{number}', 'ward', f'{number:064x}')
    for number in range(50)
)
BEFORE = Configuration(4, accounts=(WARD, Account('depot')), callers=CALLERS)


def test_applying_rendered_changes_gives_the_next_version():
    after = Configuration(
        5,
        accounts=(Account('ward', weight=3), Account('mine')),
        callers=CALLERS[1:],
    )
    changes = render_changes(BEFORE, after)
    assert (
        diff_configurations(apply_changes(BEFORE, changes, 5).unwrap(), after)
        == ()
    )
    assert len(changes) < 500


def test_changes_that_break_a_reference_are_rejected():
    changes = json.dumps({'remove': {'accounts': ['ward']}}).encode()
    faults = apply_changes(BEFORE, changes, 5).failure()
    assert faults[0].path == 'callers[0].account'
    assert len(faults) == len(CALLERS)


def test_malformed_changes_are_rejected_with_the_json_path():
    faults = apply_changes(BEFORE, b'{"put": {"models": 1}}', 5).failure()
    assert [fault.path for fault in faults] == ['put.models']
