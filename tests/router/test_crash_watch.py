"""Entries that share what they know of prompts that crash engines."""

import asyncio
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from foxtailhatch.recovery.crash_suspects import (
    CRASHES_TO_CONVICT,
    RIVALRY_S,
)
from foxtailhatch.recovery.quarantine import TRIAL_PAUSE_S
from foxtailhatch.relay.context import SelectedStage
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.crash_watch import (
    CONFIRM_S,
    MAX_UNWRITTEN_BYTES,
    SPREAD_S,
    CrashWatch,
)
from foxtailhatch.router.keyed_log import KeyedRecord, StoreFault
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.router.fakes import SETTINGS, Clock

ENGINES = [f'e{number}' for number in range(9)]


class SharedLog:
    """A store whose records reach the entries when they are delivered."""

    def __init__(self):
        self.records = []
        self.latest = {}
        self.is_down = False

    async def put(self, topic, key, value):
        if self.is_down:
            return Failure(StoreFault.UNREACHABLE)
        self.records.append(KeyedRecord(key, value))
        self.latest[key] = value
        return Success(None)


class Entry:
    def __init__(self, store, clock, number):
        self.store = store
        self.running = set()
        self.log = ListLog()
        settings = replace(SETTINGS, instance=f'entry-{number}')
        self.board = Blackboard(settings, clock)
        for name in ENGINES:
            self.board.endpoints.put(endpoint(name), clock())
        self.watch = CrashWatch(
            self.board, store, self.log, Random(number), lambda: self.running
        )
        self._read = 0

    def lose(self, name, *parts):
        stage = SelectedStage(self.board.endpoints.get(name))
        self.watch.record_lost((stage,), prompt(*parts), self.board.clock())

    def deliver(self):
        records = self.store.records[self._read :]
        self._read = len(self.store.records)
        self.watch.apply(records, is_snapshot=False)


class Fleet:
    def __init__(self, entries=3):
        self.clock = Clock()
        self.store = SharedLog()
        self.entries = [
            Entry(self.store, self.clock, number) for number in range(entries)
        ]

    def crash(self, name):
        for one in self.entries:
            one.board.endpoints.mark_dead(name, 1, self.clock())

    def advance(self, seconds):
        async def steps():
            end = self.clock.now + seconds
            while self.clock.now < end:
                self.clock.now += 0.1
                for one in self.entries:
                    await one.watch.step()
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                for one in self.entries:
                    one.deliver()

        asyncio.run(steps())

    def blocked(self, *parts):
        return [one.watch.is_blocked(prompt(*parts)) for one in self.entries]

    def convict(self, *parts):
        for number in range(CRASHES_TO_CONVICT):
            name = ENGINES[number]
            self.entries[number % len(self.entries)].lose(
                name, *parts, f'own{number}'
            )
            self.crash(name)
            self.advance(0.3)


def prompt(*parts):
    return SimpleNamespace(
        prompt_parts=parts,
        shared_parts=parts[:-1],
        suspects=parts[:-1],
        fingerprint='',
    )


# Guards against crashes whose common cause no single entry sees.
def test_part_is_quarantined_everywhere_after_crashes_at_several_entries():
    fleet = Fleet()
    fleet.convict('bad')
    fleet.advance(1)
    assert fleet.blocked('bad', 'other') == [True, True, True]
    assert fleet.blocked('s', 'other') == [False, False, False]


def test_few_records_are_written_for_a_verdict_of_many_entries():
    fleet = Fleet(entries=40)
    fleet.convict('bad')
    fleet.advance(1)
    assert all(fleet.blocked('bad', 'x'))
    # A report of each crash, and some entries that announce the part at once.
    assert len(fleet.store.records) <= CRASHES_TO_CONVICT + 20


def test_closed_connection_of_a_living_engine_is_no_evidence():
    fleet = Fleet()
    for number in range(5):
        fleet.entries[0].lose('e1', 'bad', f'own{number}')
    fleet.advance(CONFIRM_S + 1)
    assert fleet.store.records == []
    assert fleet.entries[0].watch.is_idle


def test_engine_that_was_leaving_has_not_crashed():
    fleet = Fleet()
    entry = fleet.entries[0]
    for name in ENGINES[:4]:
        leaving = replace(entry.board.endpoints.get(name), state='draining')
        entry.lose(name, 'bad', f'own-{name}')
        entry.board.endpoints._draining_since[name, 1] = fleet.clock()
        entry.board.endpoints.remove(leaving.name, fleet.clock())
    fleet.advance(1)
    assert fleet.store.records == []


def test_shared_part_that_other_entries_know_to_be_sound_is_spared():
    fleet = Fleet()
    fleet.entries[2].watch.record_begun(prompt('s', 'before'), fleet.clock())
    fleet.convict('s', 'bad')
    fleet.advance(1.5)
    assert fleet.blocked('s', 'bad', 'x') == [True, True, True]
    assert fleet.blocked('s', 'x') == [False, False, False]


def test_request_that_begins_releases_its_part_everywhere():
    fleet = Fleet()
    fleet.convict('s')
    fleet.advance(1)
    assert all(fleet.blocked('s', 'x'))
    fleet.entries[1].watch.record_begun(prompt('s', 'x'), fleet.clock())
    fleet.advance(0.5)
    assert fleet.blocked('s', 'x') == [False, False, False]


def test_entry_that_has_just_started_finds_the_quarantined_parts():
    fleet = Fleet()
    fleet.convict('bad')
    fleet.advance(1)
    fresh = Entry(fleet.store, fleet.clock, 9)
    latest = [KeyedRecord(*pair) for pair in fleet.store.latest.items()]
    fresh.watch.apply(latest, is_snapshot=True)
    assert fresh.watch.is_blocked(prompt('bad', 'x'))
    assert fresh.watch._suspects.crash_count('bad') == 0


def restore(fleet, *copied):
    """Let the store return from a copy with only some of its keys."""
    fleet.store.latest = {
        key: value for key, value in fleet.store.latest.items() if key in copied
    }
    snapshot = [
        KeyedRecord(key, value) for key, value in fleet.store.latest.items()
    ]
    for one in fleet.entries:
        one.watch.apply(snapshot, is_snapshot=True, is_restored=True)


# Guards against entries that start after a restore and know no quarantine.
def test_quarantine_that_a_restored_store_has_lost_is_written_again():
    fleet = Fleet()
    fleet.convict('bad')
    fleet.advance(1)
    restore(fleet)
    written = len(fleet.store.records)
    fleet.advance(1)
    assert 'part/bad' in fleet.store.latest
    assert all(fleet.blocked('bad', 'x'))
    assert len(fleet.store.records) - written <= len(fleet.entries)


# Guards against sound requests that an older copy quarantines again.
def test_released_part_stays_released_after_a_restore():
    fleet = Fleet()
    fleet.convict('bad')
    fleet.advance(1)
    copied = dict(fleet.store.latest)
    fleet.entries[0].watch.record_begun(prompt('bad', 'x'), fleet.clock())
    fleet.advance(1)
    fleet.store.latest = copied
    restore(fleet, 'part/bad')
    fleet.advance(1)
    assert not any(fleet.blocked('bad', 'x'))
    assert fleet.store.latest['part/bad'] is None


# Guards against a second trial of the same number, which costs an engine.
def test_trial_that_a_restored_store_has_lost_is_not_begun_again():
    fleet = Fleet()
    fleet.convict('bad')
    fleet.advance(TRIAL_PAUSE_S + 1)
    first, second, _ = fleet.entries

    async def claim():
        first.watch.take_trial(['bad'], fleet.clock())

    asyncio.run(claim())
    fleet.advance(1)
    assert first.watch.take_trial(['bad'], fleet.clock())
    restore(fleet)
    assert not second.watch.take_trial(['bad'], fleet.clock())
    fleet.advance(3)
    started = Entry(fleet.store, fleet.clock, 7)
    snapshot = [KeyedRecord(*pair) for pair in fleet.store.latest.items()]
    started.watch.apply(snapshot, is_snapshot=True)
    assert started.board.quarantine.trials('bad') == 1


def sent(fingerprint):
    """Return a request without a prompt."""
    return SimpleNamespace(
        prompt_parts=(),
        shared_parts=(),
        suspects=(f'request:{fingerprint}',),
        fingerprint=fingerprint,
    )


def lose_request(fleet, number, name, *fingerprints):
    """Let an engine crash under requests of one entry."""
    entry = fleet.entries[number]
    head = entry.board.endpoints.get(name)
    for fingerprint in fingerprints:
        entry.watch.record_request_lost(head, sent(fingerprint), fleet.clock())
    fleet.crash(name)


# Guards against one request that comes again at an entry after the other.
def test_request_is_quarantined_everywhere_after_crashes_at_two_entries():
    fleet = Fleet()
    lose_request(fleet, 0, 'e0', 'bad')
    fleet.advance(0.3)
    assert fleet.entries[2].watch.may_repeat(sent('bad'), fleet.clock())
    lose_request(fleet, 1, 'e1', 'bad')
    fleet.advance(0.3)
    assert not fleet.entries[2].watch.may_repeat(sent('bad'), fleet.clock())
    fleet.advance(1)
    for one in fleet.entries:
        assert one.watch.is_blocked(sent('bad'))
        assert not one.watch.is_blocked(sent('other'))


# Guards against sound requests that are given up as they were lost beside it.
def test_requests_beside_the_cause_are_sent_on_after_the_verdict():
    fleet = Fleet()
    for name in ('e0', 'e1'):
        lose_request(fleet, 0, name, 'bad', 'a', 'b')
        fleet.advance(0.2)
    watch = fleet.entries[0].watch
    fleet.advance(1)
    assert watch.may_repeat(sent('bad'), fleet.clock())
    assert not watch.may_repeat(sent('a'), fleet.clock())
    lose_request(fleet, 0, 'e2', 'bad')
    fleet.advance(1)
    assert watch.is_blocked(sent('bad'))
    for fingerprint in ('a', 'b'):
        assert watch.may_repeat(sent(fingerprint), fleet.clock())
        assert not watch.is_blocked(sent(fingerprint))


def test_closed_connections_of_living_endpoints_are_no_crashes():
    fleet = Fleet()
    watch = fleet.entries[0].watch
    for name in ('e0', 'e1', 'e2'):
        head = fleet.entries[0].board.endpoints.get(name)
        watch.record_request_lost(head, sent('a'), fleet.clock())
        fleet.advance(1)
    assert watch.may_repeat(sent('a'), fleet.clock())
    fleet.advance(CONFIRM_S)
    assert fleet.store.records == []
    assert watch.is_idle


def lose_without_witness(fleet, number, name, *fingerprints):
    """Let an endpoint crash as no other one of its service lives."""
    entry = fleet.entries[number]
    head = entry.board.endpoints.get(name)
    for fingerprint in fingerprints:
        entry.watch.record_request_lost(head, sent(fingerprint), fleet.clock())
    entry.watch.record_unanswered(head, fleet.clock())


# Guards against a request that crashes all endpoints of a service at once, so that
# none is left to show that it is not the entry that is cut off.
def test_request_that_crashes_all_endpoints_is_quarantined_everywhere():
    fleet = Fleet()
    for name in ('e0', 'e1', 'e2'):
        lose_without_witness(fleet, 0, name, 'bad', f'sound-{name}')
    fleet.advance(1.2)
    for one in fleet.entries:
        assert one.watch.is_blocked(sent('bad'))
        assert not one.watch.is_blocked(sent('sound-e0'))


# Guards against the same where each entry loses the request once.
def test_request_that_three_entries_lost_at_once_is_quarantined():
    fleet = Fleet()
    for number, name in enumerate(('e0', 'e1', 'e2')):
        lose_without_witness(fleet, number, name, 'bad', f'sound-{name}')
    for one in fleet.entries:
        for name in ('e0', 'e1', 'e2'):
            head = one.board.endpoints.get(name)
            one.watch.record_unanswered(head, fleet.clock())
    fleet.advance(1.2)
    for one in fleet.entries:
        assert one.watch.is_blocked(sent('bad'))
        assert not one.watch.is_blocked(sent('sound-e0'))


# Guards against verdicts for all by entries that are cut off from the endpoints.
def test_losses_at_endpoints_that_others_find_are_no_crashes():
    fleet = Fleet(entries=4)
    for number, name in enumerate(('e0', 'e1', 'e2')):
        lose_without_witness(fleet, number, name, 'popular')
    fleet.advance(CONFIRM_S + 1)
    assert not any(
        one.watch.is_blocked(sent('popular')) for one in fleet.entries
    )


# Guards against sound requests that hide the cause, as only some losses count.
def test_losses_beside_a_crash_that_another_entry_reports_count():
    fleet = Fleet()
    for name in ('e0', 'e1'):
        lose_without_witness(fleet, 0, name, 'a', 'b')
        lose_without_witness(fleet, 1, name, f'c-{name}')
    fleet.advance(1.2)
    watch = fleet.entries[1].watch
    assert not watch.is_blocked(sent('a'))
    reported = [
        record for record in fleet.store.records if b'c-e0' in record.value
    ]
    assert reported


# Guards against verdicts by an entry that is cut off from the endpoints.
def test_requests_that_an_entry_cut_off_loses_once_are_no_crashes():
    fleet = Fleet()
    for name in ('e0', 'e1', 'e2'):
        lose_without_witness(fleet, 0, name, f'sound-{name}')
    fleet.advance(CONFIRM_S + 1)
    for one in fleet.entries:
        assert one.watch.is_idle
        assert not one.log.of('crash_suspects')


# Guards against a single request that takes one endpoint after the other down
# before any crash is confirmed.
def test_request_that_was_lost_twice_in_a_row_waits():
    fleet = Fleet()
    watch = fleet.entries[0].watch
    for name, may_go_on in (('e0', True), ('e1', False)):
        head = fleet.entries[0].board.endpoints.get(name)
        watch.record_request_lost(head, sent('bad'), fleet.clock())
        assert watch.may_repeat(sent('bad'), fleet.clock()) is may_go_on


def test_request_that_is_sound_after_all_is_released_everywhere():
    fleet = Fleet()
    for name in ('e0', 'e1'):
        lose_request(fleet, 0, name, 'a')
        fleet.advance(0.3)
    fleet.advance(1)
    assert all(one.watch.is_blocked(sent('a')) for one in fleet.entries)
    fleet.entries[1].watch.record_sound(sent('a'), fleet.clock())
    fleet.advance(1)
    assert not any(one.watch.is_blocked(sent('a')) for one in fleet.entries)


# Guards against crashes in an outage of the store that nobody hears of.
def test_reports_of_an_outage_are_written_after_it():
    fleet = Fleet()
    fleet.store.is_down = True
    for number, name in enumerate(('e0', 'e1')):
        lose_request(fleet, number, name, 'bad')
        fleet.advance(1)
    assert not any(one.watch.is_blocked(sent('bad')) for one in fleet.entries)
    fleet.store.is_down = False
    fleet.advance(3)
    assert all(one.watch.is_blocked(sent('bad')) for one in fleet.entries)


# Guards against a process that ends while only it knows of a crash.
def test_reports_that_the_store_has_not_taken_are_unwritten():
    fleet = Fleet()
    watch = fleet.entries[0].watch
    assert not watch.has_unwritten_records
    fleet.store.is_down = True
    lose_request(fleet, 0, 'e0', 'bad')
    fleet.advance(1)
    assert watch.has_unwritten_records
    fleet.store.is_down = False
    fleet.advance(5)
    assert not watch.has_unwritten_records


def test_store_that_is_away_gets_one_record_a_second():
    fleet = Fleet(entries=1)
    fleet.store.is_down = True
    for name in ('e0', 'e1', 'e2', 'e3'):
        lose_request(fleet, 0, name, 'a', 'b')
    fleet.advance(10)
    failed = fleet.entries[0].log.of('observation_not_written')
    assert len(failed) <= 4 + 10 + 2


def test_few_records_are_written_for_a_request_at_many_entries():
    fleet = Fleet(entries=40)
    for number in range(3):
        lose_request(fleet, number, f'e{number}', 'bad')
        fleet.advance(0.3)
    fleet.advance(1)
    assert all(one.watch.is_blocked(sent('bad')) for one in fleet.entries)
    assert len(fleet.store.records) <= 3 + 20


def test_verdict_is_reached_without_the_store():
    fleet = Fleet(entries=1)
    fleet.store.is_down = True
    fleet.convict('bad')
    fleet.advance(1)
    assert fleet.blocked('bad', 'x') == [True]
    assert fleet.entries[0].log.of('observation_not_written')


def test_one_entry_of_all_begins_a_trial():
    fleet = Fleet()
    fleet.convict('bad')
    fleet.advance(TRIAL_PAUSE_S + 1)

    async def ask():
        return [
            one.watch.take_trial(['bad'], fleet.clock())
            for one in fleet.entries
        ]

    taken = []
    for _ in range(8):
        taken += asyncio.run(_settled(ask))
        fleet.advance(0.3)
    assert taken.count(True) == 1


def test_request_with_two_quarantined_parts_is_no_trial():
    fleet = Fleet()
    fleet.convict('bad')
    fleet.advance(TRIAL_PAUSE_S + 1)
    assert not fleet.entries[0].watch.take_trial(['bad', 's'], fleet.clock())


@pytest.mark.parametrize('raw', [b'junk', b'[]', b'[1]'])
def test_malformed_records_are_logged(raw):
    fleet = Fleet()
    entry = fleet.entries[0]
    entry.watch.apply([KeyedRecord('part/x', raw)], is_snapshot=False)
    assert entry.log.of('observation_unreadable')
    assert len(entry.board.quarantine) == 0


def test_requests_that_wait_for_an_event_are_stopped_at_the_verdict():
    fleet = Fleet()
    stopped = []
    for one in fleet.entries:
        for parts in (('bad', 'x'), ('s', 'x')):
            relay = SimpleNamespace(
                admitted=SimpleNamespace(req=prompt(*parts)),
                stop_before_event=lambda parts=parts: stopped.append(parts),
            )
            one.running.add(_Hashable(relay))
    fleet.convict('bad')
    fleet.advance(SPREAD_S + 0.5)
    assert set(stopped) == {('bad', 'x')}
    assert len(stopped) >= len(fleet.entries)


class _Hashable:
    def __init__(self, relay):
        self.admitted = relay.admitted
        self.stop_before_event = relay.stop_before_event


async def _settled(ask):
    taken = await ask()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return taken


# Guards against a verdict that waits for the next crash.
def test_verdict_between_rivals_needs_no_further_crash():
    fleet = Fleet()
    fleet.convict('unknown', 'bad')
    assert fleet.blocked('unknown', 'bad', 'x') == [False, False, False]
    fleet.advance(RIVALRY_S + SPREAD_S + 0.2)
    assert fleet.blocked('unknown', 'bad', 'x') == [True, True, True]
    assert fleet.blocked('unknown', 'x') == [False, False, False]


def test_part_is_quarantined_as_soon_as_its_rival_is_known_to_be_sound():
    fleet = Fleet()
    fleet.convict('s', 'bad')
    for one in fleet.entries:
        one.watch.record_begun(prompt('s', 'x'), fleet.clock())
    fleet.advance(0.2)
    assert fleet.blocked('bad', 'x') == [True, True, True]


# Guards against memory that grows by the size of each record which a store that
# is away does not take.
def test_size_of_unwritten_records_is_bounded():
    fleet = Fleet(entries=1)
    entry = fleet.entries[0]
    fleet.store.is_down = True

    async def write_all():
        for number in range(64):
            entry.watch._put(f'lost/{number}', bytes(100_000))
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(write_all())
    kept = [len(raw) for _, raw in entry.watch._unwritten]
    assert 0 < sum(kept) <= MAX_UNWRITTEN_BYTES
