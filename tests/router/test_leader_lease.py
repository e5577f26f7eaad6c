"""Who decides while members of the group come, go and are cut off."""

import asyncio

from returns.result import Success

from foxtailhatch.router.keyed_log import Membership, StoreFault
from foxtailhatch.router.leader_lease import (
    HANDOVER_S,
    LEASE_S,
    LEAVE_AFTER_S,
    STORE_OUTAGE_AGE_S,
    LeaderLease,
)
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryStore, board


class World:
    """A turn, its store and its time."""

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

    def become(self, generation, holder):
        self.store.membership = Membership(generation, is_holder=holder)
        self.ask()

    def ask(self, is_candidate=True):
        asyncio.run(self.lease.maintain(is_candidate=is_candidate))

    def may(self):
        return self.lease.may_decide(self.clock.now)


def test_holder_may_decide():
    assert World().may()
    assert not World(holder=False).may()


def test_who_loses_the_turn_goes_on_until_the_next_one_knows():
    world = World()
    world.become(2, holder=False)
    assert world.may()
    world.clock.now += HANDOVER_S + 0.1
    assert not world.may()


def test_orders_of_a_handover_carry_the_old_token():
    world = World()
    world.become(2, holder=False)
    assert world.lease.fencing_token == 1


def test_holder_that_is_cut_off_from_a_store_that_others_reach_stops():
    world = World()
    world.store.fault = StoreFault.UNREACHABLE
    world.clock.now += LEASE_S + 0.1
    world.board.configuration_confirmed_at = world.clock.now
    world.ask()
    assert not world.may()


def test_holder_goes_on_while_the_store_is_away_for_all():
    world = World()
    world.store.fault = StoreFault.UNREACHABLE
    world.clock.now += STORE_OUTAGE_AGE_S + 0.1
    world.ask()
    assert world.may()


def test_fenced_holder_stops_until_it_has_a_higher_token():
    world = World()
    world.lease.fenced()
    assert not world.may()
    world.become(5, holder=True)
    assert world.may()


def test_entry_that_reads_for_a_moment_gives_its_place_back():
    """Trouble at the store: many entries try in turn whether it is back."""
    world = World(holder=False)
    world.clock.now += LEAVE_AFTER_S
    world.ask(is_candidate=False)
    world.ask(is_candidate=False)
    assert world.left == ['entry-1']


def test_reader_that_met_a_failing_call_stays_in_the_group():
    world = World(holder=False)
    world.clock.now += LEAVE_AFTER_S / 2
    world.ask(is_candidate=False)
    world.become(2, holder=True)
    assert world.left == []
    assert world.may()


def test_holder_that_reads_no_more_keeps_the_turn():
    world = World()
    world.ask(is_candidate=False)
    assert world.lease.is_held
    assert world.left == []


def test_stopping_entry_does_not_join():
    world = World(holder=False)
    world.board.stop_requested_at = world.clock.now
    world.become(2, holder=True)
    assert not world.lease.is_held
