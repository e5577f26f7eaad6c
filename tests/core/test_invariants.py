import pytest

from foxtailhatch.core import (
    Invariant,
    InvariantViolation,
    check_counts,
    check_invariant,
)


def test_a_violation_is_raised_with_its_evidence():
    with pytest.raises(InvariantViolation, match='claim 7 is second'):
        check_invariant(Invariant.AT_MOST_ONCE, False, 'claim 7 is second')


def test_a_check_is_counted():
    before = check_counts[Invariant.NOT_RUN_IS_ACCURATE]
    check_invariant(Invariant.NOT_RUN_IS_ACCURATE, True, 'nothing was sent')
    assert check_counts[Invariant.NOT_RUN_IS_ACCURATE] == before + 1


def test_a_violation_is_not_caught_by_exception_handlers():
    assert not issubclass(InvariantViolation, Exception)
