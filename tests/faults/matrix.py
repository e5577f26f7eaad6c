"""Cells of the matrix: each fault at each step, and pairs of faults."""

from dataclasses import dataclass

from tests.faults.checks import find_violations
from tests.faults.faults import FAULTS
from tests.faults.scenario import Scenario

PAIR_STEPS = ('open-1', 'token-3', 'claim', 'decided', 'append')


@dataclass(frozen=True)
class Cell:
    """One or two faults at one step."""

    faults: tuple
    step: str

    @property
    def name(self):
        return f'{" + ".join(self.faults)} at {self.step}'


@dataclass(frozen=True)
class Verdict:
    """Result of a cell; it passed if ``violations`` is empty."""

    cell: Cell
    violations: tuple


FAULTS_BY_NAME = {fault.name: fault for fault in FAULTS}


def single_cells():
    """Return a cell for each fault and each applicable step."""
    return [
        Cell((fault.name,), step) for fault in FAULTS for step in fault.steps
    ]


def pair_cells():
    """Return a cell for each pair of faults and each of ``PAIR_STEPS``."""
    return [
        Cell((first.name, second.name), step)
        for number, first in enumerate(FAULTS)
        for second in FAULTS[number + 1 :]
        for step in PAIR_STEPS
        if step in first.steps and step in second.steps
    ]


def run_cell(cell):
    """Run a cell and return its verdict."""
    faults = [FAULTS_BY_NAME[name] for name in cell.faults]
    scenario = Scenario({cell.step: [fault.inject for fault in faults]}).run()
    single = len(faults) == 1
    violations = find_violations(
        scenario,
        single,
        single and faults[0].recovers,
        all(fault.calls_succeed for fault in faults),
    )
    if scenario.fault_at is None:
        violations.append('the step was not reached')
    return Verdict(cell, tuple(violations))
