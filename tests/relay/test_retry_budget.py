"""Many failures at once: the retries of all entries stay bounded."""

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailhatch.relay.retry_budget import RetryBudget


def test_entries_together_stay_below_the_bound():
    budgets = [RetryBudget(0.2, 198, 10) for _ in range(7)]
    spent = 0
    for _ in range(200):
        for budget in budgets:
            budget.note_request('s', 20)
            spent += budget.spend('s', 20, entries=7)
    assert spent <= 0.2 * 1400 + 198


def test_old_retries_make_room():
    budget = RetryBudget(0, 2, 10)
    assert budget.spend('s', 20, 1)
    assert not budget.spend('s', 25, 1)
    assert budget.spend('s', 30.1, 1)


def test_services_do_not_share():
    budget = RetryBudget(0, 2, 10)
    assert budget.spend('a', 20, 1)
    assert budget.spend('b', 20, 1)


def test_entries_that_all_restart_together_stay_below_the_bound():
    """A kill of all entries: nobody remembers what was spent before."""
    before = [RetryBudget(0, 198, 10) for _ in range(7)]
    spent = sum(spent_by(one, 30.0, entries=7) for one in before)
    after = [RetryBudget(0, 198, 10, started_at=31) for _ in range(7)]
    # Each knows only itself at first.
    spent += sum(spent_by(one, 32.0, entries=1) for one in after)
    spent += sum(spent_by(one, 39.0, entries=7) for one in after)
    assert spent <= 198


def test_entry_that_has_just_started_spends_by_its_requests_alone():
    budget = RetryBudget(0.2, 198, 10, started_at=30)
    for _ in range(20):
        budget.note_request('s', 31)
    assert spent_by(budget, 32.0, entries=7) == 3


@given(st.data())
@settings(max_examples=40, derandomize=True, deadline=None)
def test_no_window_exceeds_the_bound_whoever_restarts(source):
    """Entries that spend all they may, and restart at any time."""
    count, slack, window_s = 5, 40, 10
    budgets = [RetryBudget(0.2, slack, window_s) for _ in range(count)]
    requests, retries = [], []
    for now in range(20, 60):
        for place in range(count):
            if source.draw(st.integers(0, 9)) == 0:
                budgets[place] = RetryBudget(0.2, slack, window_s, now)
            if source.draw(st.booleans()):
                budgets[place].note_request('s', now)
                requests.append(now)
            spent = spent_by(budgets[place], now, entries=count)
            retries.extend([now] * spent)
    for end in range(20, 60):
        seen = sum(end - window_s < one <= end for one in requests)
        sent = sum(end - window_s < one <= end for one in retries)
        assert sent <= 0.2 * seen + slack


def test_entries_that_seem_gone_still_count_for_a_window():
    budget = RetryBudget(0, 70, 10)
    budget.spend('s', 20, entries=7)
    assert spent_by(budget, 21.0, entries=1) <= 10


def spent_by(budget, now, entries):
    return sum(budget.spend('s', now, entries) for _ in range(300))


def test_counts_are_bounded_by_the_window():
    budget = RetryBudget(0.2, 10, 10)
    for moment in range(1000):
        budget.note_request('s', moment)
    assert len(budget._requests['s']) == 10
