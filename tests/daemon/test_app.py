"""Exits of the process other than a planned stop."""

from types import SimpleNamespace

from foxtailhatch.core import (
    Address,
    EventKind,
    HybridClock,
    Invariant,
    InvariantViolation,
)
from foxtailhatch.daemon.app import EXIT_INVARIANT, EntryProcess
from foxtailhatch.daemon.assembly import empty_blackboard, own_entry
from tests.daemon.test_shutdown import FakeChannel
from tests.faults.entry import entry_settings


def break_invariant():
    """Return a process that ended, its state, and a connection of it."""
    stopped = []
    reactor = SimpleNamespace(
        seconds=lambda: 0.0, stop=lambda: stopped.append(True)
    )
    cfg = entry_settings('entry-1', 'thrissur-a')
    address = Address('127.0.0.1', 1)
    board = empty_blackboard(
        cfg, own_entry(cfg, address, address), HybridClock('entry-1')
    )
    process = EntryProcess(cfg, SimpleNamespace(), reactor)
    components, _ = process._build_components(board)
    components.claims.manager = SimpleNamespace(pending_record_count=2)
    channel = FakeChannel(components.connections)
    components.guard.invariant_broken(
        InvariantViolation(Invariant.COMPLETE_OWN_RESPONSE, 'a token twice')
    )
    assert (process.exit_code, stopped) == (EXIT_INVARIANT, [True])
    return board, channel


# The process ended without a word on the requests that it cut.
def test_requests_that_a_broken_invariant_cuts_are_recorded():
    _, channel = break_invariant()
    assert channel.cuts == ['invariant broken']


# Outcomes that the log had not taken were dropped without a line.
def test_outcomes_that_the_log_has_not_taken_are_recorded():
    board, _ = break_invariant()
    last = board.timeline.events('entry-1')[-1]
    assert (last.kind, last.detail) == (EventKind.OUTCOMES_UNSENT, '2 records')
