"""Suspects are sent one at a time."""

from foxtailhatch.recovery.suspect_turns import TURN_TTL_S, SuspectTurns


def test_next_suspect_waits_for_the_end_of_a_turn():
    turns = SuspectTurns()
    assert turns.take('a', 0)
    assert not turns.take('b', 1)
    turns.end('b')
    assert not turns.take('b', 1)
    turns.end('a')
    assert turns.take('b', 1)


def test_turn_of_a_suspect_that_is_not_heard_of_ends():
    turns = SuspectTurns()
    turns.take('a', 0)
    assert turns.take('b', TURN_TTL_S + 0.1)
