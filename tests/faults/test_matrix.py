"""Subset of the fault matrix; ``make faults`` runs all cells."""

from pathlib import Path

import pytest

from tests.faults.matrix import Cell, run_cell, single_cells
from tests.faults.report import known_failures

QUICK_CELLS = [
    Cell((fault,), step)
    for fault, step in (
        ('stage death', 'token-3'),
        ('freeze', 'token-0'),
        ('link cut', 'open-1'),
        ('silent connection', 'last-token'),
        ('late frame', 'token-3'),
        ('duplicated frames', 'prefill'),
        ('entry death', 'token-3'),
        ('entry death', 'ran'),
        ('planned stop', 'token-0'),
        ('endpoint leaving', 'prefill'),
        ('endpoint leaving', 'claim'),
        ('log down', 'claim'),
        ('log silent', 'append'),
        ('acknowledgement lost, landed', 'claim'),
        ('acknowledgement lost, not landed', 'append'),
        ('acknowledgement lost, lands late', 'snapshot'),
        ('claimant paused', 'decided'),
        ('racing operators', 'publish'),
    )
]


@pytest.mark.parametrize('cell', QUICK_CELLS, ids=lambda cell: cell.name)
def test_cell_has_no_violations(cell):
    assert run_cell(cell).violations == ()


def test_runs_of_a_cell_are_deterministic():
    cell = Cell(('stage death', 'log slow'), 'token-3')
    assert run_cell(cell) == run_cell(cell)


def test_known_failures_are_read_by_cell_name(tmp_path):
    path = tmp_path / 'KNOWN-RED.txt'
    path.write_text('faults: freeze at open-0; issue 6\nother: x\n')
    assert known_failures(path) == {'freeze at open-0'}


def test_known_failures_still_fail():
    """A cell that passes again must be removed from the list."""
    names = known_failures(Path(__file__).parents[2] / 'KNOWN-RED.txt')
    cells = [cell for cell in single_cells() if cell.name in names]
    assert len(cells) == len(names)
    assert all(run_cell(cell).violations for cell in cells)
