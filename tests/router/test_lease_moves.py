"""How often the lease moves, and for how long nobody holds it.

Entries with a group that deals its single partition in various ways, in virtual
time: the store answers after ``DELAY_S``, and links and entries fail.
"""

import asyncio
from dataclasses import dataclass, replace

import pytest
from returns.result import Failure, Success

from foxtailhatch.daemon.loops import Loops
from foxtailhatch.platform.store import CALL_TIMEOUT_S
from foxtailhatch.router.app import LEASE_RENEWAL_PERIOD_S
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.entry_table import Heartbeat
from foxtailhatch.router.keyed_log import Membership, StoreFault
from foxtailhatch.router.leader_lease import LEASE_S, LeaderLease
from foxtailhatch.router.lease_peers import (
    PEER_TIMEOUT_S,
    PeerSilent,
    PeerUnaware,
)
from foxtailhatch.router.lease_site import accepts_lease
from foxtailhatch.routes import RoutingTable
from tests.faults.virtual_loop import VirtualLoop
from tests.relay.fakes import ListLog
from tests.router.fakes import SETTINGS
from tests.routes.configurations import configuration

DELAY_S = 0.004
STOP_S = 2.5
RESTART_S = 0.5
SETTLING_S = 2.0
TICK_S = 0.02


def by_name(members, _):
    return min(members)


def by_last_name(members, _):
    return max(members)


def in_turn(members, generation):
    return sorted(members)[generation % len(members)]


def newest(members, _):
    return tuple(members)[-1]


DEALS = (by_name, by_last_name, in_turn, newest)


class Group:
    """A group with one partition, which changes hands as the store's does.

    The member to whom it is dealt gets it when the former owner has joined
    with the new generation, has left, or has lapsed.
    """

    def __init__(self, loop, deal):
        self.is_down = False
        self.generation = 0
        self.owner = ''
        self.joins = 0
        self._loop = loop
        self._deal = deal
        self._members = {}
        self._due = ''

    def join(self, member, generation, lease_s):
        self.joins += 1
        self.expire()
        if member not in self._members:
            self._members[member] = 0
            self._change()
        self._members[member] = self._loop.now + lease_s
        if self.owner == member != self._due and generation >= self.generation:
            self.owner = ''
        if not self.owner and self._due == member:
            self.owner = member
        is_holder = self.owner == member == self._due
        return Membership(self.generation, is_holder)

    def leave(self, member):
        self.expire()
        if self._members.pop(member, None) is not None:
            self._drop_owner()
            self._change()

    def expire(self):
        lapsed = [
            member
            for member, until in self._members.items()
            if until < self._loop.now
        ]
        for member in lapsed:
            self._members.pop(member)
        if lapsed:
            self._drop_owner()
            self._change()

    def deal_anew(self):
        self._change()

    def _drop_owner(self):
        if self.owner not in self._members:
            self.owner = ''

    def _change(self):
        self.generation += 1
        members = tuple(self._members)
        self._due = self._deal(members, self.generation) if members else ''


class GroupLink:
    """The group as one entry sees it."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    async def join(self, member, generation, lease_s):
        return await self._call(
            lambda group: group.join(member, generation, lease_s)
        )

    async def leave(self, member):
        return await self._call(lambda group: group.leave(member))

    async def holder(self):
        return await self._call(self._owner)

    def _owner(self, group):
        group.expire()
        return group.owner

    async def _call(self, act):
        world = self._world
        await asyncio.sleep(DELAY_S)
        if world.group.is_down or self._name in world.cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return Failure(StoreFault.UNREACHABLE)
        answer = act(world.group)
        await asyncio.sleep(DELAY_S)
        return Success(answer)


class PeerLinks:
    """The other entries as one entry sees them."""

    def __init__(self, world):
        self._world = world

    async def offer(self, peer):
        entry = await self._reach(peer)
        if entry is None or entry.is_old:
            return False
        now = entry.board.clock()
        if not accepts_lease(entry.board, now):
            return False
        entry.board.lease_offered_at = now
        return True

    async def data_age_s(self, peer):
        entry = await self._reach(peer)
        if entry is None:
            return PeerSilent()
        if entry.is_old:
            return PeerUnaware()
        return entry.board.configuration_age(entry.board.clock())

    async def _reach(self, peer):
        await asyncio.sleep(DELAY_S)
        entry = self._world.entries[peer.name]
        if not entry.is_up or self._world.loop.any_paused((peer.name,)):
            await asyncio.sleep(PEER_TIMEOUT_S)
            return None
        return entry


@dataclass
class Entry:
    """One entry: it reads the store, and takes part in the group."""

    world: object
    name: str
    is_old: bool = False
    is_up: bool = False

    def start(self):
        world = self.world
        cfg = replace(SETTINGS, instance=self.name, peer_address=self.name)
        self.log = ListLog()
        self.board = Blackboard(cfg, lambda: world.loop.now)
        self.board.table = RoutingTable(configuration())
        self.lease = LeaderLease(
            self.board, GroupLink(world, self.name), self.log, PeerLinks(world)
        )
        self.started_at = world.loop.now
        self.is_up = True
        self.loops = Loops(lambda exc: None)
        self.loops.every(0.1, self._read)
        self.loops.every(LEASE_RENEWAL_PERIOD_S, self._maintain)

    async def _read(self):
        """Read the configuration and the list of entries from the store."""
        world = self.world
        if world.group.is_down or self.name in world.cut:
            return
        now = self.board.clock()
        self.board.configuration_confirmed_at = now
        for entry in world.entries.values():
            # Heartbeats are read up to 1.5 s late.
            if entry.is_up and now - entry.started_at > 1.0:
                listed = entry.board.own_entry()
                self.board.entries.record_heartbeat(
                    entry.name, Heartbeat([listed]), now
                )

    async def _maintain(self):
        is_settled = self.board.clock() - self.started_at >= SETTLING_S
        if not self.is_old:
            await self.lease.maintain(is_candidate=is_settled)
        elif is_settled and self.board.stop_requested_at is None:
            # Older builds are members all the time.
            await self.lease._join()

    async def stop(self):
        self.board.stop_requested_at = self.board.clock()
        if self.is_old:
            await self.lease.release()
        else:
            await self.lease.hand_over()

    def end(self):
        self.loops.stop()
        self.is_up = False

    def may_order(self):
        loop = self.world.loop
        is_running = self.is_up and not loop.any_paused((self.name,))
        return is_running and self.lease.may_order(loop.now)


class World:
    """All entries, the group, and what is cut off from it."""

    def __init__(self, deal, count=5, old=()):
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.group = Group(self.loop, deal)
        self.cut = set()
        self.entries = {
            f'e{number}': Entry(self, f'e{number}', is_old=number in old)
            for number in range(count)
        }
        for position, entry in enumerate(self.entries.values()):
            # They start at different times, so that their waits do not align.
            self.loop.call_later(
                0.07 * position,
                entry.start,
                context=self.loop.context_of(entry.name),
            )
        self.run(8)

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def spawn(self, entry, act):
        self.loop.call_soon(
            lambda: asyncio.ensure_future(act()),
            context=self.loop.context_of(entry.name),
        )

    def holder(self):
        names = [
            entry.name
            for entry in self.entries.values()
            if entry.is_up and entry.lease.is_held
        ]
        return names[-1] if names else ''

    def who_may_order(self):
        return [
            entry.name for entry in self.entries.values() if entry.may_order()
        ]

    def watch(self, seconds, act=None):
        """Return the changes of holder and the longest time without orders."""
        holder = self.holder()
        changes, idle_s, longest_s = 0, 0, 0
        for step in range(round(seconds / TICK_S)):
            if act is not None:
                act(step * TICK_S)
            self.run(TICK_S)
            now = self.holder()
            if now not in {'', holder}:
                holder = now
                changes += 1
            idle_s = 0 if self.who_may_order() else idle_s + TICK_S
            longest_s = max(longest_s, idle_s)
        return changes, longest_s

    def restart(self, name, whole_stop_s=STOP_S):
        """Stop an entry as planned; it starts again after its stop."""
        entry = self.entries[name]
        self.spawn(entry, entry.stop)
        self.loop.call_later(whole_stop_s, entry.end)
        self.loop.call_later(
            whole_stop_s + RESTART_S,
            entry.start,
            context=self.loop.context_of(name),
        )

    def close(self):
        for name in self.entries:
            self.loop.resume(name)
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()
        asyncio.set_event_loop(None)


@pytest.fixture(params=DEALS, ids=lambda deal: deal.__name__)
def world(request):
    made = World(request.param)
    yield made
    made.close()


# Guards against a lease that each start of an entry moves, for half a second
# without a holder each time.
def test_rolling_restart_moves_the_lease_only_from_entries_that_stop(world):
    stops = []

    def restart_next(at):
        if len(stops) < len(world.entries) and at >= len(stops) * 5.0:
            name = f'e{len(stops)}'
            stops.append(world.holder() == name)
            world.restart(name)

    changes, longest_s = world.watch(32, restart_next)
    assert changes <= sum(stops)
    assert longest_s < 0.5


# Guards against a rolling restart in which all others are about to stop.
def test_fast_rolling_restart_leaves_no_time_without_orders(world):
    stops = []

    def restart_next(at):
        if len(stops) < len(world.entries) and at >= len(stops):
            name = f'e{len(stops)}'
            stops.append(world.holder() == name)
            world.restart(name, whole_stop_s=3.0)

    changes, longest_s = world.watch(14, restart_next)
    assert changes <= sum(stops)
    assert longest_s < 0.5


# Guards against a lease that moves each time that the store deals it out anew.
def test_partitions_that_are_dealt_anew_do_not_move_the_lease(world):
    def deal_anew(at):
        if round(at / TICK_S) % 100 == 50:
            world.group.deal_anew()

    changes, longest_s = world.watch(10, deal_anew)
    assert (changes, longest_s) == (0, 0)


def test_start_of_an_entry_does_not_move_the_lease(world):
    name = next(one for one in world.entries if one != world.holder())
    world.restart(name)
    assert world.watch(10) == (0, 0)


def test_holder_that_is_killed_is_replaced_soon_after_its_lease(world):
    before = world.holder()
    world.entries[before].end()
    changes, longest_s = world.watch(10)
    assert changes == 1
    assert longest_s < LEASE_S + 1.5


# Guards against two entries that give orders after a pause of the holder.
def test_holder_that_freezes_gives_no_order_beside_the_next_one(world):
    before = world.holder()
    world.loop.pause(before)
    world.watch(4)
    after = world.who_may_order()
    assert len(after) == 1
    assert after != [before]
    world.loop.resume(before)
    for _ in range(100):
        world.run(TICK_S)
        assert world.who_may_order() == after


# Guards against orders of a holder that takes its own old data for an outage
# for all, while another entry holds the lease.
def test_holder_that_alone_is_cut_off_gives_no_order_beside_the_next_one(
    world,
):
    before = world.holder()
    world.cut.add(before)
    for _ in range(500):
        world.run(TICK_S)
        assert len(world.who_may_order()) <= 1
    assert world.who_may_order() not in ([], [before])


def test_holder_cut_off_with_a_frozen_peer_gives_no_order_beside_the_next_one(
    world,
):
    before = world.holder()
    frozen = [name for name in world.entries if name != before][:2]
    world.cut.add(before)
    for name in frozen:
        world.loop.pause(name)
    for step in range(500):
        if step == 200:
            for name in frozen:
                world.loop.resume(name)
        world.run(TICK_S)
        assert len(world.who_may_order()) <= 1


# Guards against a placement that stands still while the store is away, as
# peers are not asked for all of a long outage.
def test_holder_goes_on_for_all_of_a_long_outage(world):
    before = world.holder()
    world.group.is_down = True
    world.run(5)
    for _ in range(3000):
        world.run(TICK_S)
        assert world.who_may_order() == [before]


def test_holder_of_a_long_outage_stops_once_a_peer_reaches_the_store(world):
    before = world.holder()
    world.group.is_down = True
    world.run(10)
    assert world.who_may_order() == [before]
    world.cut.add(before)
    world.group.is_down = False
    world.run(1.5)
    assert before not in world.who_may_order()
    for _ in range(300):
        world.run(TICK_S)
        assert before not in world.who_may_order()
    assert len(world.who_may_order()) == 1


@pytest.mark.parametrize('old', [(0,), (0, 1), (0, 1, 2, 3)])
@pytest.mark.parametrize('deal', DEALS)
def test_older_builds_in_the_group_get_and_give_up_the_lease(deal, old):
    world = World(deal, old=old)
    world.watch(5)
    for name in world.entries:
        world.restart(name)
        _, longest_s = world.watch(8)
        assert longest_s < 1.5
        held = [one for one in world.entries.values() if one.lease.is_held]
        assert len(held) == 1
    world.close()
