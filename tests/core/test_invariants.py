import pytest

from foxtailhatch.core import Invariant, InvariantBroken, checks_made, require


def test_a_broken_invariant_is_raised_with_its_evidence():
    with pytest.raises(InvariantBroken, match='claim 7 is second'):
        require(Invariant.AT_MOST_ONCE, False, 'claim 7 is second')


def test_a_check_is_counted():
    before = checks_made[Invariant.NOT_RUN_IS_TRUE]
    require(Invariant.NOT_RUN_IS_TRUE, True, 'nothing was sent')
    assert checks_made[Invariant.NOT_RUN_IS_TRUE] == before + 1


def test_no_ordinary_handler_swallows_a_broken_invariant():
    assert not issubclass(InvariantBroken, Exception)
