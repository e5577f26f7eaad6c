"""Many failures at once: the retries of all entries stay bounded."""

from foxtailhatch.relay.retry_budget import WindowBudget


def test_entries_together_stay_below_the_bound():
    budgets = [WindowBudget(0.2, 198, 10) for _ in range(7)]
    spent = 0
    for _ in range(200):
        for budget in budgets:
            budget.note_request('s', 1)
            spent += budget.spend('s', 1, entries=7)
    assert spent <= 0.2 * 1400 + 198


def test_old_retries_make_room():
    budget = WindowBudget(0, 2, 10)
    assert budget.spend('s', 0, 1)
    assert not budget.spend('s', 5, 1)
    assert budget.spend('s', 10.1, 1)


def test_services_do_not_share():
    budget = WindowBudget(0, 2, 10)
    assert budget.spend('a', 0, 1)
    assert budget.spend('b', 0, 1)


def test_counts_are_bounded_by_the_window():
    budget = WindowBudget(0.2, 10, 10)
    for moment in range(1000):
        budget.note_request('s', moment)
    assert len(budget._requests['s']) == 10
