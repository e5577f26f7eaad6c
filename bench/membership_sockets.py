"""Gossiping entries on real sockets in one process, for benchmarks."""

import asyncio
import time
from dataclasses import dataclass
from random import Random
from statistics import fmean

from bench.virtual_mesh import PORT, location_of
from foxtailhatch.core import Address, HybridClock
from foxtailhatch.membership import (
    Digest,
    Entry,
    EntryTable,
    Gossip,
    GossipAction,
    SendDigest,
)
from foxtailhatch.peers import Message, PeerIdentity, PeerNode, PeerSettings

TICK_S = 0.25
HEARTBEAT_PERIOD_S = 1.0


class SocketEntry:
    """Entry that gossips over a real peer node."""

    def __init__(self, number: int) -> None:
        """Create the node; its port is assigned when it starts."""
        self.name = f'entry-{number:03}'
        self.location = location_of(number, 3, 1)
        identity = PeerIdentity(self.name, Address('127.0.0.1', 0))
        self.node = PeerNode(
            PeerSettings(identity, b'bench key'),
            HybridClock(self.name),
            self._handle_message,
            self._handle_unreachable,
        )
        self.gossip: Gossip | None = None

    async def listen(self) -> Address:
        """Start listening and return the address."""
        return await self.node.start()

    def start_gossip(self, seeds: list[Address]) -> None:
        """Start gossiping with the seeds."""
        address = self.node.identity.address
        own = Entry(
            self.name,
            Address(address.host, PORT),
            address,
            self.location.zone,
            self.location.region,
        )
        self.gossip = Gossip(EntryTable(own), Random(self.name), seeds)

    def tick(self) -> None:
        """Run the gossip actions that are due."""
        if self.gossip is not None:
            self._execute(self.gossip.tick(time.monotonic()))

    def send_heartbeats(self, addresses: list[Address]) -> None:
        """Send a heartbeat to every other address, as in a full mesh."""
        if self.gossip is not None:
            own = self.gossip.table.update_own()
            for address in addresses:
                if address != own.peer_address:
                    self.node.send(address, Digest(own))

    def _handle_message(self, peer: PeerIdentity, message: Message) -> None:
        if self.gossip is not None and isinstance(message, Digest):
            now = time.monotonic()
            self._execute(self.gossip.receive(message, now))

    def _handle_unreachable(self, address: Address) -> None:
        if self.gossip is not None:
            now = time.monotonic()
            self._execute(self.gossip.handle_unreachable(address, now))

    def _execute(self, actions: tuple[GossipAction, ...]) -> None:
        for action in actions:
            if isinstance(action, SendDigest):
                self.node.send(
                    action.address,
                    action.digest,
                    reconnect=action.reconnect,
                )


@dataclass(frozen=True, slots=True)
class SocketCost:
    """Processor seconds per second of one node, and its number of links."""

    processor_s: float
    links: float


async def measure_sockets(
    count: int,
    seconds: int,
    *,
    full_mesh: bool,
) -> SocketCost:
    """Run entries on real sockets and return the mean cost per entry."""
    entries = [SocketEntry(number) for number in range(count)]
    seeds = await asyncio.gather(*(entry.listen() for entry in entries))
    for entry in entries:
        entry.start_gossip(seeds)
    run = _heartbeat_all if full_mesh else _tick_all
    await run(entries, seconds)
    start = time.process_time()
    await run(entries, seconds)
    spent_s = time.process_time() - start
    links = fmean(each.node.link_count() for each in entries)
    await asyncio.gather(*(each.node.stop() for each in entries))
    return SocketCost(spent_s / seconds / count, links)


async def _tick_all(entries: list[SocketEntry], seconds: int) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for entry in entries:
            entry.tick()
        await asyncio.sleep(TICK_S)


async def _heartbeat_all(entries: list[SocketEntry], seconds: int) -> None:
    addresses = [entry.node.identity.address for entry in entries]
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for entry in entries:
            entry.send_heartbeats(addresses)
        await asyncio.sleep(HEARTBEAT_PERIOD_S)
