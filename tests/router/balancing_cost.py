"""Processor time of the balance between zones, without the search itself.

python -m tests.router.balancing_cost
"""

import time
from random import Random

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.fleet.demand import RankDemand, ServiceDemand
from foxtailhatch.router.entry_table import EntryRecord, Heartbeat
from foxtailhatch.router.service_balance import SPLIT_PERIOD_S
from foxtailhatch.router.zone_balancer import ZoneBalancer
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, board, engine
from tests.router.zone_model import Metrics
from tests.routes.configurations import MODEL

ROUNDS = 200
RANKS = 3


class BalancingCost:
    """A balancer of one entry, with any number of engines and entries."""

    def __init__(self, engines: int, entries: int, zones: int = 3) -> None:
        self.clock = Clock()
        self.board = board(self.clock)
        self.zones = [f'z{number}' for number in range(1, zones + 1)]
        for number in range(engines):
            first = number // zones % 5 * 16
            self.board.endpoints.put(
                self._engine(f'e{number}', first, self.zones[number % zones]),
                self.clock(),
            )
        records = [
            EntryRecord(
                f'n{number}',
                self.zones[number % zones],
                'here',
                '',
                '',
                1,
                True,
            )
            for number in range(entries)
        ]
        self.heartbeat = Heartbeat(records, {})
        self.balancer = ZoneBalancer(
            self.board, Random(1), ListLog(), Metrics()
        )

    def _engine(self, name: str, first: int, zone: str) -> LiveEndpoint:
        return engine(name, 'large', (first, first + 16), zone)

    def renew(self) -> None:
        now = self.clock()
        self.board.entries.record_heartbeat('n0', self.heartbeat, now)
        of_rank = RankDemand(1, 20, 12, 1, 12_000)
        demand = ServiceDemand(dict.fromkeys(range(RANKS), of_rank))
        self.board.demand.update(
            {zone: {'model': demand} for zone in self.zones}, now
        )

    def split_s(self, *, with_change: bool) -> float:
        """Return the mean time of a split, after a change of the list or not."""
        spent_s = 0.0
        for _ in range(ROUNDS):
            self.clock.now += SPLIT_PERIOD_S
            self.renew()
            if with_change:
                self.board.endpoints.mark_silent('e0', 1)
                self.board.endpoints.clear_silence('e0')
            spent_s += self._timed()
        return spent_s / ROUNDS

    def kept_s(self) -> float:
        """Return the mean time where the split is kept."""
        self.renew()
        self._timed()
        return sum(self._timed() for _ in range(ROUNDS)) / ROUNDS

    def _timed(self) -> float:
        began_at = time.process_time_ns()
        self.balancer.is_enabled(MODEL, self.clock())
        return (time.process_time_ns() - began_at) / 1e9


def main() -> None:
    for engines, entries, zones in ((99, 91, 3), (98, 137, 3), (1200, 360, 8)):
        cost = BalancingCost(engines, entries, zones)
        split_s = cost.split_s(with_change=False)
        print(  # noqa: WPS421
            f'{engines} engines, {entries} entries, {zones} zones: '
            f'split {1e6 * split_s:.0f} us, '
            f'{100 * split_s / SPLIT_PERIOD_S:.2f} % of a core; after a '
            f'change {1e6 * cost.split_s(with_change=True):.0f} us; '
            f'kept {1e6 * cost.kept_s():.1f} us'
        )


if __name__ == '__main__':
    main()
