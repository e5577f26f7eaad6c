import pytest

from foxtailhatch.config.configuration import Account
from foxtailhatch.core import Caller
from foxtailhatch.limits import AccountShares, AdmissionController, Ticket
from foxtailhatch.limits.account_shares import PEER_REPORT_TTL_S

CREW = Account('crew', requests_per_s=20, max_running=40)
ENTRIES = 4


class Fleet:
    """Entries that exchange reports each second unless partitioned."""

    def __init__(self):
        self.shares = [AccountShares(f'e{i}') for i in range(ENTRIES)]
        self.admissions = [AdmissionController() for _ in self.shares]
        self.tickets = 0

    def run_second(self, now, offered, *, connected=True):
        """Submit tickets to each entry for one second.

        Return how many were admitted.
        """
        admitted = 0
        for at in range(10):
            for shares, admission, each in zip(
                self.shares, self.admissions, offered, strict=True
            ):
                time_s = now + at / 10
                admission.accounts = shares.local_limits(
                    [CREW], {}, ENTRIES if connected else 1, time_s
                )
                for _ in range(each // 10):
                    admitted += self.submit(shares, admission, time_s)
        if connected:
            reports = [
                shares.demand_report({}, now + 1) for shares in self.shares
            ]
            for shares in self.shares:
                for report in reports:
                    shares.update_peer_report(report)
        return admitted

    def submit(self, shares, admission, now):
        self.tickets += 1
        shares.record_request('crew', now)
        ticket = Ticket(str(self.tickets), Caller('ann', 'crew'), now)
        result = admission.submit(ticket, now)
        admission.cancel(ticket.ticket_id)
        return bool(result.value_or(None))


@pytest.mark.parametrize(
    'offered', [(20, 20, 20, 20), (50, 10, 10, 10), (0, 80, 0, 0)]
)
def test_entries_together_keep_a_limit_for_any_spread_of_demand(offered):
    fleet = Fleet()
    for now in range(20):
        fleet.run_second(now, offered)
    total = sum(fleet.run_second(20 + now, offered) for now in range(10))
    assert total <= 10 * CREW.requests_per_s * 1.1
    assert total >= 10 * CREW.requests_per_s * 0.8


def test_a_short_partition_keeps_the_limit_and_a_long_one_is_bounded():
    fleet = Fleet()
    offered = (100,) * ENTRIES
    for now in range(20):
        fleet.run_second(now, offered)
    early = fleet.run_second(25, offered, connected=False)
    assert early <= CREW.requests_per_s * 1.5
    late = 0
    for now in range(10):
        late += fleet.run_second(
            30 + PEER_REPORT_TTL_S + now, offered, connected=False
        )
    assert late <= 10 * ENTRIES * CREW.requests_per_s * 1.1
    assert late > 10 * CREW.requests_per_s


def test_the_limit_follows_demand_that_moves_to_another_entry():
    fleet = Fleet()
    for now in range(10):
        fleet.run_second(now, (80, 0, 0, 0))
    for now in range(10, 40):
        last = fleet.run_second(now, (0, 0, 0, 80))
    assert last >= CREW.requests_per_s * 0.8


def test_the_running_limit_is_divided_by_open_requests():
    here, there = AccountShares('a'), AccountShares('b')
    here.update_peer_report(there.demand_report({'crew': 30}, 0.0))
    limited = here.local_limits([CREW], {'crew': 10}, 2, 0.0)['crew']
    assert 8 <= limited.max_running <= 12


def test_an_entry_never_uses_more_than_the_whole_limit():
    alone = AccountShares('a')
    for _ in range(500):
        alone.record_request('crew', 0.0)
    limited = alone.local_limits([CREW], {'crew': 500}, 1, 0.0)['crew']
    assert limited.requests_per_s <= CREW.requests_per_s
    assert limited.max_running <= CREW.max_running


def test_an_account_without_limits_stays_unlimited():
    free = AccountShares('a').local_limits([Account('crew')], {}, 3, 0.0)[
        'crew'
    ]
    assert free.requests_per_s is None
    assert free.max_running is None


def test_idle_accounts_are_dropped():
    shares = AccountShares('a')
    shares.record_request('crew', 0.0)
    assert shares.demand_report({}, 0.0).demands
    assert not shares.demand_report({}, 1000.0).demands


def test_an_older_report_of_a_peer_is_dropped():
    here, there = AccountShares('a'), AccountShares('b')
    newer = there.demand_report({'crew': 5}, 2.0)
    here.update_peer_report(newer)
    here.update_peer_report(there.demand_report({'crew': 90}, 1.0))
    assert here.peer_reports['b'] == newer
