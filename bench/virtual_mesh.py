"""Simulation of gossiping entries in virtual time, for benchmarks and tests.

Only the controllers without I/O run; a message is a delayed call.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from foxtailhatch.core import Address
from foxtailhatch.membership import (
    Digest,
    EndpointLeaving,
    Entry,
    EntryTable,
    Gossip,
    GossipAction,
    RequestConfiguration,
    SendDigest,
)

STEP_S = 0.05
TICK_STEPS = 5
PORT = 90


@dataclass(frozen=True, slots=True)
class Location:
    """Availability zone and region of an entry."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class DigestInFlight:
    """A digest that is delivered at time ``due``."""

    source: Address
    target: Address
    digest: Digest
    due: float


DigestTransform = Callable[[Digest], Digest]


def location_of(number: int, zones: int, regions: int) -> Location:
    """Assign entries to zones, and zones to regions, in rotation."""
    zone = number % zones
    return Location(f'zone-{zone}', f'region-{zone % regions}')


class VirtualMesh:
    """Set of entries and the simulated network between them."""

    def __init__(self, seed: int) -> None:
        """Create a mesh without entries at virtual time 0."""
        self.now = float(0)
        self.nodes: dict[Address, Gossip] = {}
        self.received_leaves: dict[Address, list[EndpointLeaving]] = {}
        self.is_partitioned: Callable[[Entry, Entry], bool] = (
            lambda one, other: False
        )
        self.transform: DigestTransform = lambda digest: digest
        self.sent_count = 0
        self._random = Random(seed)
        self._in_flight: deque[DigestInFlight] = deque()
        self._step = 0
        self._phases: list[list[Address]] = [[] for _ in range(TICK_STEPS)]

    def add(
        self, name: str, location: Location, seeds: Iterable[Address]
    ) -> Gossip:
        """Add an entry that knows only its seeds."""
        address = Address(f'10.0.{len(name)}.{len(self.received_leaves)}', PORT)
        own = Entry(
            name=name,
            caller_address=Address(address.host, 80),
            peer_address=address,
            availability_zone=location.zone,
            region=location.region,
            incarnation=int(self.now),
        )
        random = Random(self._random.random())
        gossip = Gossip(EntryTable(own), random, seeds)
        self.nodes[address] = gossip
        self.received_leaves[address] = []
        random.choice(self._phases).append(address)
        return gossip

    def kill(self, gossips: Iterable[Gossip]) -> None:
        """Remove entries; connections to them are refused."""
        for gossip in tuple(gossips):
            self.nodes.pop(gossip.table.own.peer_address)

    def run(self, seconds: float) -> None:
        """Advance the virtual time by ``seconds``."""
        for _ in range(round(seconds / STEP_S)):
            self._advance()

    def run_until(self, reached: Callable[[], bool], limit_s: float) -> float:
        """Advance until ``reached`` or the limit; return the elapsed seconds."""
        start = self.now
        while not reached() and self.now < start + limit_s:
            self._advance()
        return self.now - start

    def execute(
        self,
        address: Address,
        actions: Iterable[GossipAction],
    ) -> None:
        """Execute the actions that an entry returned."""
        for action in actions:
            match action:
                case SendDigest(target, digest):
                    self.sent_count += 1
                    due = self.now + STEP_S
                    transformed = self.transform(digest)
                    sent = DigestInFlight(address, target, transformed, due)
                    self._in_flight.append(sent)
                case RequestConfiguration(target, _):
                    self._fetch(address, target)
                case EndpointLeaving():
                    self.received_leaves[address].append(action)

    def _advance(self) -> None:
        self._step += 1
        self.now = self._step * STEP_S
        while self._in_flight and self._in_flight[0].due <= self.now:
            self._deliver(self._in_flight.popleft())
        for address in self._phases[self._step % TICK_STEPS]:
            gossip = self.nodes.get(address)
            if gossip is not None:
                self.execute(address, gossip.tick(self.now))

    def _deliver(self, sent: DigestInFlight) -> None:
        source = self.nodes.get(sent.source)
        target = self.nodes.get(sent.target)
        if source is None:
            return
        if target is None:
            actions_on_failure = source.handle_unreachable(
                sent.target, self.now
            )
            self.execute(sent.source, actions_on_failure)
        elif not self.is_partitioned(source.table.own, target.table.own):
            replies = target.receive(sent.digest, self.now)
            self.execute(sent.target, replies)

    def _fetch(self, address: Address, target: Address) -> None:
        peer = self.nodes.get(target)
        if peer is not None:
            version = peer.table.own.configuration_version
            self.nodes[address].table.update_own(configuration_version=version)


def build(count: int, seed: int, zones: int, regions: int) -> VirtualMesh:
    """Return a mesh whose entries start together with up to three seeds."""
    mesh = VirtualMesh(seed)
    seeds: list[Address] = []
    for number in range(count):
        location = location_of(number, zones, regions)
        gossip = mesh.add(f'entry-{number:03}', location, seeds)
        if len(seeds) < 3:
            seeds.append(gossip.table.own.peer_address)
    return mesh


def populate_tables(mesh: VirtualMesh) -> None:
    """Merge all entries into every table, as in a converged mesh."""
    own_entries = [gossip.table.own for gossip in mesh.nodes.values()]
    for gossip in mesh.nodes.values():
        for own in own_entries:
            gossip.table.merge(own, mesh.now)


def member_counts(mesh: VirtualMesh) -> list[int]:
    """Return the number of members each entry knows, including itself."""
    return [gossip.table.count() for gossip in mesh.nodes.values()]
