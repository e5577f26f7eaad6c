"""What reports of demand cost an entry, by the number of entries and accounts.

``python -m tests.router.demand_cost`` prints, for each size, the bytes of a
report, of the sums in a response and in a heartbeat, the bytes a second that a
fed entry sends and receives for them, and the processor time of one step and a
second of it, at a fed entry and at the reader of a zone.
"""

import time
from random import Random

from foxtailhatch.router.demand_messages import encode_report, encode_sums
from foxtailhatch.router.demand_totals import SUM_PERIOD_S, DemandTotals
from foxtailhatch.router.entry_table import EntryRecord, Heartbeat
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, board
from tests.router.test_load_features import routes
from tests.routes.configurations import configuration

# Entries and zones.
SIZES = {91: 3, 137: 3, 195: 5, 360: 8}
ACCOUNTS = (24, 40, 580)
# Requests a second at an entry, their tokens and duration.
REQUESTS_PER_S = 2
TOKENS = 860
DURATION_S = 2.0
RANKS = 3
# A response comes with each confirmed read of the configuration, twice a second,
# and with each batch of observations, which are few while nothing fails.
RESPONSES_PER_S = 2
HEARTBEATS_PER_S = 1 / 1.5
REPEATS = 200


def entry(number, zones):
    zone = number % zones
    return EntryRecord(
        f'entry-{number:03}',
        f'zone-{zone}',
        'here',
        f'10.0.{zone}.{number}:80',
        f'10.0.{zone}.{number}:90',
        1.0,
        is_ready=True,
    )


def record_requests(own, random, accounts, seconds=2.0):
    """Record the requests of some seconds before time 100."""
    running = []
    for number in range(round(REQUESTS_PER_S * seconds)):
        at = 100 - seconds + number / REQUESTS_PER_S
        account = f'account-{random.randrange(accounts):03}'
        rank = random.randrange(RANKS)
        own.record_start('model', rank, account, TOKENS, at)
        running.append((rank, account))
    own.set_waiting('model', RANKS - 1, random.randrange(3))
    own.record_refusal('model', RANKS - 1, 99.5)
    own.record_crossing('model', 99.5, 2)


class Zone:
    """The reader of a zone, with reports of its entries and other readers."""

    def __init__(self, entries, zones, accounts, seed=1):
        random = Random(seed)
        self.clock = Clock(100.0)
        cfg = configuration(routes=routes(*range(RANKS)))
        self.state = board(self.clock, cfg)
        self.state.entries_confirmed_at = 100.0
        self.log = ListLog()
        self.totals = DemandTotals(self.state, self.log)
        record_requests(self.state.own_demand, random, accounts)
        others = []
        for zone in range(1, zones):
            other = board(self.clock, cfg)
            totals = DemandTotals(other, self.log)
            members = [
                entry(number, zones)
                for number in range(entries)
                if number % zones == zone
            ]
            self.fill(totals, members, random, accounts)
            raw = encode_sums(
                {
                    name: services
                    for name, services in totals.of_fed(100.0).items()
                    if name == f'zone-{zone}'
                }
            )
            self.heartbeat_bytes = len(raw)
            others.append((members, raw))
        self.fed = [
            entry(number, zones) for number in range(zones, entries, zones)
        ]
        self.reports = self.fill(self.totals, self.fed, random, accounts)
        for members, raw in others:
            self.state.entries.record_heartbeat(
                members[0].name, Heartbeat(members, {}, raw), 100.0
            )

    def fill(self, totals, members, random, accounts):
        reports = []
        for one in members:
            source = board(self.clock)
            record_requests(source.own_demand, random, accounts)
            raw = encode_report(source.own_demand.report(100.0))
            reports.append(raw)
            totals.record_report(one, raw, 100.0)
        return reports

    def add_up(self):
        """Compute the sums afresh, as is done after ``SUM_PERIOD_S``."""
        self.totals._summed_at = float('-inf')
        return self.totals.response_to(self.fed[0].name, 100.0)

    def respond(self):
        return self.totals.response_to(self.fed[0].name, 100.0)

    def receive(self):
        self.totals.record_report(self.fed[0], self.reports[0], 100.0)

    def report(self):
        return encode_report(self.state.own_demand_report())


def seconds_of(call):
    """Return the processor time of one call, the mean of many."""
    call()
    begin = time.process_time()
    for _ in range(REPEATS):
        call()
    return (time.process_time() - begin) / REPEATS


def message_bytes(entries, zones, accounts):
    """Return the most bytes of a report, of a response and of a heartbeat."""
    zone = Zone(entries, zones, accounts)
    return (
        max(map(len, zone.reports)),
        len(zone.respond()),
        zone.heartbeat_bytes,
    )


def bytes_per_s(zones, report, response, heartbeat):
    """Return the bytes a second that a fed entry sends and receives."""
    return (
        RESPONSES_PER_S * (report + response)
        + HEARTBEATS_PER_S * zones * heartbeat
    )


def costs(entries, zones, accounts):
    """Return processor seconds of the steps, and of a second at both kinds."""
    zone = Zone(entries, zones, accounts)
    raw = zone.respond()
    receiver = zone.totals._receiver
    steps = {
        'report': seconds_of(zone.report),
        'read sums': seconds_of(lambda: receiver.response(raw, 'peer', 100.0)),
        'read report': seconds_of(zone.receive),
        'add up': seconds_of(zone.add_up),
        'respond': seconds_of(zone.respond),
        'heartbeat': seconds_of(lambda: encode_sums(zone.totals.of_fed(100.0))),
    }
    fed = RESPONSES_PER_S * (steps['report'] + steps['read sums'])
    responses_per_s = RESPONSES_PER_S * len(zone.fed)
    reader = (
        responses_per_s * (steps['read report'] + steps['respond'])
        + min(responses_per_s, 1 / SUM_PERIOD_S) * steps['add up']
        + HEARTBEATS_PER_S * steps['heartbeat']
    )
    assert zone.log.lines == []
    return steps, fed, reader


def main():
    for entries, zones in SIZES.items():
        for accounts in ACCOUNTS:
            sizes = message_bytes(entries, zones, accounts)
            steps, fed, reader = costs(entries, zones, accounts)
            print(
                f'{entries} entries, {zones} zones, {accounts} accounts:',
                'report {}, response {}, heartbeat {} bytes;'.format(*sizes),
                f'fed entry {bytes_per_s(zones, *sizes):.0f} bytes a second;',
                *(
                    f'{name} {seconds * 1e6:.0f} us,'
                    for name, seconds in steps.items()
                ),
                f'fed entry {100 * fed:.2f} %, reader {100 * reader:.2f} %',
            )


if __name__ == '__main__':
    main()
