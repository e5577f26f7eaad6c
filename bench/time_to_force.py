"""Time until all instances have folded a publication, in virtual time."""

import random
from dataclasses import dataclass, field

from bench.memory_log import MemoryLog
from bench.report import report
from foxtailhatch.config import (
    CONFIGURATION_STREAM,
    Account,
    Configuration,
    ConfigurationFold,
    Publication,
    encode_record,
    render_configuration,
)
from foxtailhatch.durable import LogFollower
from foxtailhatch.outside import LogPage

TICK_S = 0.05
PARTNERS = 4
ROUND_S = 1.0
EXCHANGE_S = 0.15
FAST_READ_S = 0.05
SLOW_READ_S = 8.0
TARGET_S = 18.0
RUNS = 20
SIZES = (3, 9, 40)


@dataclass(slots=True)
class Instance:
    """Reader of the configuration log, with ``read_s`` as its log latency.

    It announces each new version to its partners at once, and requests
    records from one of them every :data:`ROUND_S`; ``inbox`` holds arrival
    times and senders.
    """

    fold: ConfigurationFold
    follower: LogFollower
    read_s: float
    next_round_at: float
    announced_version: int = 0
    partners: list['Instance'] = field(default_factory=list)
    answers: list[tuple[float, LogPage]] = field(default_factory=list)
    inbox: list[tuple[float, 'Instance']] = field(default_factory=list)

    def poll(self, now: float, log: MemoryLog) -> None:
        """Read the log when due, and apply the pages that have arrived."""
        read = self.follower.next_read(now, self.fold.next_offset)
        if read:
            page = log.read(read.stream, read.offset)
            self.answers.append((now + self.read_s, page))
        while self.answers and self.answers[0][0] <= now:
            page = self.answers.pop(0)[1]
            self.fold.apply_page(page)
            self.follower.handle_page(now, page, self.fold.next_offset)

    def announce(self, now: float) -> None:
        """Announce a version to the partners if it is not announced yet."""
        if self.fold.version > self.announced_version:
            self.announced_version = self.fold.version
            for partner in self.partners:
                partner.inbox.append((now + EXCHANGE_S, self))

    def request_from_partner(self, now: float, rng: random.Random) -> None:
        """Request records from a random partner when a round is due."""
        if self.partners and now >= self.next_round_at:
            self.next_round_at = now + ROUND_S
            self.inbox.append((now + EXCHANGE_S, rng.choice(self.partners)))

    def merge_arrived(self, now: float) -> None:
        """Merge arrived records that are newer than the own state."""
        while self.inbox and self.inbox[0][0] <= now:
            peer = self.inbox.pop(0)[1]
            records = peer.fold.records_after(self.fold.last_offset)
            if records is None:
                self.fold.adopt_state(peer.fold.export_state())
            else:
                self.fold.apply_records(records)


def publication(version: int) -> bytes:
    """Return the record of a small publication."""
    cfg = Configuration(version, accounts=(Account(f'a{version}'),))
    return encode_record(
        Publication(
            version,
            version - 1,
            f'p{version}',
            render_configuration(cfg),
        ),
    )


def run(count: int, slow: int, peers: bool, seed: int) -> float:
    """Return the seconds from the append until all instances have folded it.

    Log reads of the first ``slow`` instances take :data:`SLOW_READ_S`.
    """
    rng = random.Random(seed)
    log = MemoryLog()
    log.append(CONFIGURATION_STREAM, publication(1), 0)
    fleet = [instance(number < slow, rng) for number in range(count)]
    if peers:
        assign_partners(fleet, rng)
    published_at = 2 * SLOW_READ_S + rng.uniform(0, 2)
    now = published_at - 2 * SLOW_READ_S
    while now < published_at:
        step_all(now, fleet, log, rng)
        now += TICK_S
    log.append(CONFIGURATION_STREAM, publication(2), now)
    while any(reader.fold.version < 2 for reader in fleet):
        step_all(now, fleet, log, rng)
        now += TICK_S
    return now - published_at


def assign_partners(fleet: list[Instance], rng: random.Random) -> None:
    """Assign random partners to each instance."""
    for each in fleet:
        each.partners = rng.sample(fleet, min(len(fleet), PARTNERS))


def instance(is_slow: bool, rng: random.Random) -> Instance:
    """Return an instance that has read nothing yet."""
    return Instance(
        ConfigurationFold(),
        LogFollower(CONFIGURATION_STREAM, rng),
        SLOW_READ_S if is_slow else FAST_READ_S,
        rng.uniform(0, ROUND_S),
    )


def step_all(
    now: float,
    fleet: list[Instance],
    log: MemoryLog,
    rng: random.Random,
) -> None:
    """Run one tick of every instance."""
    for reader in fleet:
        reader.poll(now, log)
        reader.merge_arrived(now)
        reader.announce(now)
        reader.request_from_partner(now, rng)


def measure_time_to_force() -> None:
    """Report the worst of several runs, with and without a slow log."""
    for count in SIZES:
        for slow in (0, count - 1):
            without_peers = max(
                run(count, slow, False, seed) for seed in range(RUNS)
            )
            with_peers = max(
                run(count, slow, True, seed) for seed in range(RUNS)
            )
            report(
                'time until a publication is in force everywhere',
                round(with_peers, 2),
                's',
                round(without_peers, 2),
                baseline_is='log polling without peers',
                instances=count,
                answered_slowly=slow,
                slow_read_s=SLOW_READ_S,
                target_s=TARGET_S,
                runs=RUNS,
            )
