"""Who may give orders while members join, leave and are cut off."""

import asyncio

from returns.result import Success

from foxtailhatch.router.entry_table import EntryRecord, Heartbeat
from foxtailhatch.router.keyed_log import Membership, StoreFault
from foxtailhatch.router.leader_lease import (
    HANDOVER_S,
    LEASE_S,
    LEAVE_AFTER_S,
    LeaderLease,
)
from foxtailhatch.router.outage_confirmation import STORE_OUTAGE_AGE_S
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryStore, board


class World:
    """A lease with its store and its clock."""

    def __init__(self, holder=True):
        self.clock = Clock()
        self.board = board(self.clock)
        self.store = MemoryStore()
        self.left = []
        self.store.leave = self.leave
        self.lease = LeaderLease(self.board, self.store, ListLog())
        self.become(1, holder)

    async def leave(self, member):
        self.left.append(member)
        return Success(None)

    def become(self, generation, holder, epoch=0):
        self.store.membership = Membership(
            generation, is_holder=holder, epoch=epoch
        )
        self.maintain()

    def maintain(self, is_candidate=True):
        asyncio.run(self.lease.maintain(is_candidate=is_candidate))

    def may_order(self):
        return self.lease.may_order(self.clock.now)


class SlowStore(MemoryStore):
    """A store that answers a call after ``delay_s``."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.delay_s = 0

    async def join(self, member, generation, lease_s):
        joined = await super().join(member, generation, lease_s)
        self.clock.now += self.delay_s
        return joined


# Guards against orders after the lease has lapsed, as it was counted from the
# answer of a slow store.
def test_lease_is_counted_from_the_send_of_the_renewal():
    world = World()
    slow = SlowStore(world.clock)
    slow.membership = world.store.membership
    world.lease = LeaderLease(world.board, slow, ListLog())
    slow.delay_s = 0.9
    world.maintain()
    renewed_at = world.clock.now - slow.delay_s
    world.clock.now = renewed_at + LEASE_S
    world.board.configuration_confirmed_at = world.clock.now
    assert world.may_order()
    world.clock.now += 0.01
    assert not world.may_order()


def test_only_the_holder_may_order():
    assert World().may_order()
    assert not World(holder=False).may_order()


# Guards against orders by a leader that does not reach what it orders.
def test_holder_that_is_cut_off_from_the_engines_releases_the_lease():
    world = World()
    model = next(iter(world.board.table.services))
    world.board.reach.record_sample(model, accepted=0, asked=4)
    assert not world.may_order()
    world.maintain()
    assert world.left == [world.board.cfg.instance]
    world.board.reach.record_sample(model, accepted=4, asked=4)
    world.maintain()
    assert world.may_order()


def test_holder_that_is_cut_off_from_a_plain_service_keeps_the_lease():
    world = World()
    world.board.reach.record_sample('plain', accepted=0, asked=3)
    world.maintain()
    assert world.may_order()


def test_former_holder_goes_on_until_the_next_one_knows():
    world = World()
    world.become(2, holder=False)
    assert world.may_order()
    world.clock.now += HANDOVER_S + 0.1
    assert not world.may_order()


def test_holder_that_learns_of_its_loss_too_late_may_not_order():
    """It was cut off or paused while others held the lease, and gave orders."""
    world = World()
    world.clock.now += LEASE_S + 0.1
    world.become(7, holder=False)
    assert not world.may_order()


def test_handover_ends_when_the_lease_lapses():
    world = World()
    world.clock.now += LEASE_S - HANDOVER_S / 2
    world.become(2, holder=False)
    assert world.may_order()
    world.clock.now += 0.6 * HANDOVER_S
    assert not world.may_order()


def test_former_holder_keeps_its_old_token():
    world = World()
    world.become(2, holder=False)
    assert world.lease.fencing_token == 1


def test_holder_stops_if_only_it_is_cut_off_from_the_store():
    world = World()
    world.store.fault = StoreFault.UNREACHABLE
    world.clock.now += LEASE_S + 0.1
    world.board.configuration_confirmed_at = world.clock.now
    world.maintain()
    assert not world.may_order()


def test_holder_goes_on_if_the_store_is_unreachable_for_all():
    world = World()
    world.store.fault = StoreFault.UNREACHABLE
    world.clock.now += STORE_OUTAGE_AGE_S + 0.1
    world.maintain()
    assert world.may_order()


# Guards against engines that refuse all orders after the store's return, as
# another entry had given some with a higher generation.
def test_token_rises_if_the_store_returns_from_an_older_copy():
    world = World()
    world.become(9, holder=True)
    before = world.lease.fencing_token
    world.become(4, holder=True, epoch=1)
    assert world.lease.fencing_token > before
    assert world.may_order()


def test_fenced_holder_may_order_again_in_a_new_epoch():
    world = World()
    world.become(9, holder=True)
    world.lease.mark_fenced()
    world.become(4, holder=True, epoch=1)
    assert world.may_order()


# Guards against two holders at once: the copy may name another one.
def test_lease_of_an_earlier_epoch_is_confirmed_before_the_next_order():
    world = World()
    world.board.store_epoch = 1
    assert not world.may_order()
    world.become(1, holder=True, epoch=1)
    assert world.may_order()


def test_token_does_not_fall_if_the_store_names_no_epoch():
    world = World()
    world.become(9, holder=True, epoch=2)
    before = world.lease.fencing_token
    world.become(9, holder=True)
    assert world.lease.fencing_token == before


# Guards against orders of a holder that takes its own old data for an outage
# for all, while another entry has the lease.
def test_cut_off_holder_waits_until_a_peer_confirms_the_outage():
    """It has not asked any peer yet, and another entry has the lease."""
    world = World()
    world.store.fault = StoreFault.UNREACHABLE
    peer = EntryRecord('entry-2', 'z2', 'here', 'a:1', 'a:2', 1, is_ready=True)
    world.clock.now += STORE_OUTAGE_AGE_S + 0.1
    world.board.entries.record_heartbeat(
        'entry-2', Heartbeat([peer], {}), world.clock.now - 1
    )
    world.maintain()
    assert not world.may_order()


def test_fenced_holder_stops_until_it_has_a_higher_token():
    world = World()
    world.lease.mark_fenced()
    assert not world.may_order()
    world.become(5, holder=True)
    assert world.may_order()


def test_entry_that_was_a_reader_for_a_short_time_leaves_the_group():
    """While the store is in trouble, many entries in turn try to read it."""
    world = World(holder=False)
    world.clock.now += LEAVE_AFTER_S
    world.maintain(is_candidate=False)
    world.maintain(is_candidate=False)
    assert world.left == ['entry-1']


def test_reader_stays_in_the_group_after_a_failed_call():
    world = World(holder=False)
    world.clock.now += LEAVE_AFTER_S / 2
    world.maintain(is_candidate=False)
    world.become(2, holder=True)
    assert world.left == []
    assert world.may_order()


def test_holder_that_is_no_longer_a_reader_keeps_the_lease():
    world = World()
    world.maintain(is_candidate=False)
    assert world.lease.is_held
    assert world.left == []


def test_stopping_entry_does_not_join():
    world = World(holder=False)
    world.board.stop_requested_at = world.clock.now
    world.become(2, holder=True)
    assert not world.lease.is_held


class CountingStore(MemoryStore):
    """A store that counts the calls to join."""

    joins = 0

    async def join(self, member, generation, lease_s):
        self.joins += 1
        return await super().join(member, generation, lease_s)


def watch_unlisted_holder(read_gap_ended_at, seconds):
    """Return the joins of a reader that sees no heartbeat of the holder."""
    clock = Clock()
    clock.now = 50.0
    blackboard = board(clock)
    store = CountingStore()
    store.owner = 'holder'
    blackboard.heartbeats_missed_until = read_gap_ended_at
    lease = LeaderLease(blackboard, store, ListLog())
    own = Heartbeat([blackboard.own_entry()])
    until = clock.now + seconds
    while clock.now < until:
        blackboard.entries.record_heartbeat(
            blackboard.cfg.instance, own, clock.now
        )
        asyncio.run(lease.maintain(is_candidate=True))
        clock.now += 0.4
    return store.joins


# Guards against a lease that moves after each outage: heartbeats that were not read
# were taken for not written, and the holder for gone.
def test_holder_is_not_gone_while_its_heartbeats_could_not_be_read():
    assert watch_unlisted_holder(read_gap_ended_at=49.9, seconds=3.2) == 0


def test_holder_that_writes_no_heartbeat_is_gone():
    assert watch_unlisted_holder(read_gap_ended_at=49.9, seconds=6.5) > 0
    assert watch_unlisted_holder(float('-inf'), seconds=3.2) > 0
