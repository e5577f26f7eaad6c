"""Retries of all entries together stay within the limit."""

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailhatch.relay.retry_budget import RetryBudget


def test_all_entries_together_stay_within_the_limit():
    budgets = [RetryBudget(0.2, 198, 10) for _ in range(7)]
    spent = 0
    for _ in range(200):
        for budget in budgets:
            budget.record_request('s', 20)
            spent += budget.spend('s', 20, entries=7)
    assert spent <= 0.2 * 1400 + 198


def test_retries_outside_the_window_do_not_count():
    budget = RetryBudget(0, 2, 10)
    assert budget.spend('s', 20, 1)
    assert not budget.spend('s', 25, 1)
    assert budget.spend('s', 30.1, 1)


def test_each_service_has_its_own_budget():
    budget = RetryBudget(0, 2, 10)
    assert budget.spend('a', 20, 1)
    assert budget.spend('b', 20, 1)


def test_entries_that_all_restart_at_once_stay_within_the_limit():
    """After a restart no entry knows the retries that were sent before."""
    before = [RetryBudget(0, 198, 10) for _ in range(7)]
    spent = sum(spend_all(one, 30.0, entries=7) for one in before)
    after = [RetryBudget(0, 198, 10, started_at=31) for _ in range(7)]
    # At first each entry knows only itself.
    spent += sum(spend_all(one, 32.0, entries=1) for one in after)
    spent += sum(spend_all(one, 39.0, entries=7) for one in after)
    assert spent <= 198


def test_entry_that_has_just_started_uses_no_slack():
    budget = RetryBudget(0.2, 198, 10, started_at=30)
    for _ in range(20):
        budget.record_request('s', 31)
    assert spend_all(budget, 32.0, entries=7) == 3


@given(st.data())
@settings(max_examples=40, derandomize=True, deadline=None)
def test_no_window_exceeds_the_limit_under_random_restarts(source):
    """Entries that spend all they may, and restart at random times."""
    count, slack, window_s = 5, 40, 10
    budgets = [RetryBudget(0.2, slack, window_s) for _ in range(count)]
    requests, retries = [], []
    for now in range(20, 60):
        for place in range(count):
            if source.draw(st.integers(0, 9)) == 0:
                budgets[place] = RetryBudget(0.2, slack, window_s, now)
            if source.draw(st.booleans()):
                budgets[place].record_request('s', now)
                requests.append(now)
            spent = spend_all(budgets[place], now, entries=count)
            retries.extend([now] * spent)
    for end in range(20, 60):
        seen = sum(end - window_s < one <= end for one in requests)
        sent = sum(end - window_s < one <= end for one in retries)
        assert sent <= 0.2 * seen + slack


def test_entries_no_longer_listed_still_count():
    budget = RetryBudget(0, 70, 10)
    budget.spend('s', 20, entries=7)
    assert spend_all(budget, 21.0, entries=1) <= 10


def spend_all(budget, now, entries):
    return sum(budget.spend('s', now, entries) for _ in range(300))


def test_requests_outside_the_window_are_not_stored():
    budget = RetryBudget(0.2, 10, 10)
    for second in range(1000):
        budget.record_request('s', second)
    assert len(budget._requests['s']) == 10
