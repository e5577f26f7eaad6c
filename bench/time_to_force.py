"""How long until all instances have a publication, in virtual time."""

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
from foxtailhatch.platform import LogPage

TICK_S = 0.05
PEER_INTERVAL_S = 1.0
PEER_DELAY_S = 0.05
FAST_READ_S = 0.05
SLOW_READ_S = 8.0
TARGET_S = 18.0
RUNS = 20
SIZES = (3, 9, 40)


@dataclass(slots=True)
class Instance:
    """One reader; ``read_s`` is how long the log takes to answer it."""

    fold: ConfigurationFold
    follower: LogFollower
    read_s: float
    next_peer_at: float
    answers: list[tuple[float, LogPage]] = field(default_factory=list)

    def poll(self, now: float, log: MemoryLog) -> None:
        """Read the log when it is due, and take answers that arrived."""
        read = self.follower.next_read(now, self.fold.wanted)
        if read:
            page = log.read(read.stream, read.offset)
            self.answers.append((now + self.read_s, page))
        while self.answers and self.answers[0][0] <= now:
            page = self.answers.pop(0)[1]
            self.fold.take_page(page)
            self.follower.page_read(now, page, self.fold.wanted)

    def ask_peer(self, now: float, peer: 'Instance') -> None:
        """Take over what a peer has folded beyond this instance."""
        if now < self.next_peer_at:
            return
        self.next_peer_at = now + PEER_INTERVAL_S
        records = peer.fold.records_after(self.fold.through)
        if records is None:
            self.fold.adopt(peer.fold.export())
        else:
            self.fold.take_records(records)


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
    """Return the seconds from the append until the last instance has it.

    The log answers the first ``slow`` instances late.
    """
    rng = random.Random(seed)
    log = MemoryLog()
    log.append(CONFIGURATION_STREAM, publication(1), 0)
    fleet = [instance(number < slow, rng) for number in range(count)]
    published_at = 2 * SLOW_READ_S + rng.uniform(0, 2)
    now = published_at - 2 * SLOW_READ_S
    while now < published_at:
        turn(now, fleet, log, rng, peers)
        now += TICK_S
    log.append(CONFIGURATION_STREAM, publication(2), now)
    while any(reader.fold.version < 2 for reader in fleet):
        turn(now, fleet, log, rng, peers)
        now += TICK_S
    return now + PEER_DELAY_S - published_at


def instance(is_slow: bool, rng: random.Random) -> Instance:
    """Return an instance that has read nothing yet."""
    return Instance(
        ConfigurationFold(),
        LogFollower(CONFIGURATION_STREAM, rng),
        SLOW_READ_S if is_slow else FAST_READ_S,
        rng.uniform(0, PEER_INTERVAL_S),
    )


def turn(
    now: float,
    fleet: list[Instance],
    log: MemoryLog,
    rng: random.Random,
    peers: bool,
) -> None:
    """Let each instance do what is due."""
    for reader in fleet:
        reader.poll(now, log)
        if peers:
            reader.ask_peer(now, rng.choice(fleet))


def measure_time_to_force() -> None:
    """Report the worst of several runs, with and without a slow log."""
    for count in SIZES:
        for slow in (0, count - 1):
            alone = max(run(count, slow, False, seed) for seed in range(RUNS))
            worst = max(run(count, slow, True, seed) for seed in range(RUNS))
            report(
                'time until a publication is in force everywhere',
                round(worst, 2),
                's',
                round(alone, 2),
                baseline_is='log polling without peers',
                instances=count,
                answered_slowly=slow,
                slow_read_s=SLOW_READ_S,
                target_s=TARGET_S,
                runs=RUNS,
            )
