"""Entries that follow a store and feed each other, in virtual time.

No socket is opened: calls to the store and feed requests take ``DELAY_S`` each
way, and any link can be cut.  A cut link is silent, so calls over it end with
their timeouts.
"""

import asyncio
from dataclasses import replace
from itertools import cycle
from types import SimpleNamespace

from returns.result import Failure, Success

from foxtailhatch.daemon.loops import Loops
from foxtailhatch.platform.store import CALL_TIMEOUT_S
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.feed import (
    FEED_TIMEOUT_S,
    FeedRequest,
    decode_feed_response,
)
from foxtailhatch.router.feed_site import FeedPage
from foxtailhatch.router.heartbeats import Heartbeats
from foxtailhatch.router.keyed_log import (
    KeyedPage,
    KeyedRecord,
    LogPosition,
    StoreFault,
    Topic,
)
from foxtailhatch.router.lapse_review import LapseReview
from foxtailhatch.router.outage_peers import (
    PEER_TIMEOUT_S,
    decode_view,
)
from foxtailhatch.router.outage_site import OutagePage
from foxtailhatch.router.state_sync import StateSync
from foxtailhatch.router.store_outage import REVIEW_PERIOD_S
from tests.faults.virtual_loop import VirtualLoop
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.router.fakes import SETTINGS
from tests.routes.configurations import configuration

DELAY_S = 0.002
HEARTBEAT_CHECK_S = 0.25
STORE = 'store'


class VirtualStore:
    """The log of all topics, with the time of each write and call."""

    def __init__(self, loop):
        self.topics = {topic: [] for topic in Topic}
        self.calls = []
        self._loop = loop
        self._changed = asyncio.Event()

    def write(self, topic, key, value):
        self.topics[topic].append((KeyedRecord(key, value), self._loop.now))
        self._changed.set()
        self._changed = asyncio.Event()

    def page(self, topic, offset):
        records = tuple(record for record, _ in self.topics[topic][offset:])
        return KeyedPage(records, LogPosition(0, offset + len(records)))

    async def wait(self, topic, offset, wait_s):
        until = self._loop.now + wait_s
        while len(self.topics[topic]) <= offset and self._loop.now < until:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), until - self._loop.now)
            except TimeoutError:
                return


class StoreLink:
    """The store as one entry sees it."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    async def read_latest(self, topic):
        page = await self._call(topic, 0, 0)
        if page is None:
            return Failure(StoreFault.UNREACHABLE)
        latest = {record.key: record for record in page.records}
        return Success(replace(page, records=tuple(latest.values())))

    async def read(self, topic, offset, wait_s):
        page = await self._call(topic, offset, wait_s)
        if page is None:
            return Failure(StoreFault.UNREACHABLE)
        return Success(page)

    async def put(self, topic, key, value):
        if await self._call(topic, 0, 0) is None:
            return Failure(StoreFault.UNREACHABLE)
        self._network.store.write(topic, key, value)
        return Success(None)

    async def _call(self, topic, offset, wait_s):
        """Return records, or ``None`` if the link is cut in the meantime."""
        network = self._network
        sent_at = network.loop.now
        network.store.calls.append((sent_at, self._name, topic))
        await asyncio.sleep(DELAY_S)
        if not network.is_cut(self._name, STORE):
            await network.store.wait(topic, offset, wait_s)
            page = network.store.page(topic, offset)
            await asyncio.sleep(DELAY_S)
            is_silenced = sent_at <= network.silenced_at
            if not is_silenced and not network.is_cut(self._name, STORE):
                return page
        timeout_s = CALL_TIMEOUT_S + wait_s
        await asyncio.sleep(sent_at + timeout_s - network.loop.now)
        return None


class FeedLink:
    """The feed of one entry as another one sees it."""

    def __init__(self, network, name, peer):
        self._network = network
        self._name = name
        self._peer = peer

    async def fetch(self, request: FeedRequest):
        try:
            raw = await asyncio.wait_for(
                self._exchange(request), FEED_TIMEOUT_S
            )
        except TimeoutError:
            return Failure('timeout')
        return decode_feed_response(raw)

    async def _exchange(self, request):
        loop = self._network.loop
        responded = loop.create_future()
        await self._travel()
        req = SimpleNamespace(
            content=SimpleNamespace(read=request.encode),
            notifyFinish=lambda: SimpleNamespace(addErrback=lambda _: None),
            setHeader=lambda *_: None,
            write=lambda raw: responded.done() or responded.set_result(raw),
            finish=lambda: None,
        )
        peer = self._network.entries[self._peer]
        loop.call_soon(
            peer.page.render_POST, req, context=loop.context_of(self._peer)
        )
        raw = await responded
        await self._travel()
        return raw

    async def _travel(self):
        await asyncio.sleep(DELAY_S)
        if self._network.is_cut(self._name, self._peer):
            await asyncio.sleep(3600)


class OutageLink:
    """What other entries say of the store, as one entry hears it."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    async def view(self, peer):
        await asyncio.sleep(DELAY_S)
        entry = self._network.entries[peer.name]
        if entry.is_of_old_build:
            return None
        raw = entry.outage_page.render_GET(
            SimpleNamespace(setResponseCode=lambda _: None)
        )
        await asyncio.sleep(DELAY_S)
        if self._network.is_cut(self._name, peer.name):
            await asyncio.sleep(PEER_TIMEOUT_S)
            return None
        return decode_view(raw) if raw else None


def decode_endpoint(name, raw):
    if raw != b'ready':
        return Failure('of another kind')
    return Success(endpoint(name))


class SimulatedEntry:
    """The part of an entry that follows the store and feeds others."""

    def __init__(self, network, name, zone, cpu_cores):
        self.name = name
        self.zone = zone
        self.log = ListLog()
        cfg = replace(
            SETTINGS,
            instance=name,
            zone=zone,
            callers_address=f'{name}:80',
            peer_address=name,
            cpu_cores=cpu_cores,
        )
        clock = network.loop.time
        self.board = Blackboard(cfg, clock)
        adapter = SimpleNamespace(
            store=StoreLink(network, name),
            configuration_key='config',
            decode_configuration=lambda raw: Success(
                configuration(version=int(raw), routes=network.routes)
            ),
            decode_endpoint=decode_endpoint,
        )
        self.state_sync = StateSync(
            self.board,
            adapter,
            self.log,
            self.board.own_entry,
            lambda peer: FeedLink(network, name, peer),
            lambda name, now: False,
            SimpleNamespace(apply=lambda records, **kind: None),
        )
        self.heartbeats = Heartbeats(
            self.board, adapter, self.log, self.board.own_entry
        )
        self.page = FeedPage(
            self.board, self.state_sync.mirror, self.heartbeats, self.log
        )
        self.is_of_old_build = False
        self.outage_page = OutagePage(self.board)
        self.lapse_review = LapseReview(
            self.board, OutageLink(network, name), self.log
        )

    def start(self):
        loops = Loops(lambda exc: None)
        self.state_sync.start(loops)
        loops.every(HEARTBEAT_CHECK_S, self._heartbeat)
        loops.every(REVIEW_PERIOD_S, self.lapse_review.step)

    def newest(self, topic):
        """Return the number that was last written to a topic, as known here."""
        if topic is Topic.CONFIGURATION:
            table = self.board.table
            return 0 if table is None else table.version
        latest = self.state_sync.mirror.topics[topic].latest
        return int(latest.get('counter', b'0'))

    async def _heartbeat(self):
        await self.heartbeats.step(reads_store=self.state_sync.reads_store)


class EntryNetwork:
    """All entries, their store, and the links that are cut."""

    def __init__(self, zones, entries_per_zone, routes=(), cores=(1,)):
        self.routes = routes
        cores = cycle(cores)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.store = VirtualStore(self.loop)
        self.entries = {}
        self.silenced_at = -1.0
        self._cut = set()
        for zone in range(zones):
            for number in range(entries_per_zone):
                name = f'z{zone}-e{number:02}'
                entry = SimulatedEntry(self, name, f'z{zone}', next(cores))
                self.entries[name] = entry
        self.store.write(Topic.CONFIGURATION, 'config', b'1')
        self.store.write(Topic.ENDPOINTS, 'counter', b'1')
        for position, (name, entry) in enumerate(self.entries.items()):
            # They start at different times, so that their waits do not align.
            self.loop.call_later(
                0.05 * (position % 5),
                entry.start,
                context=self.loop.context_of(name),
            )

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self):
        for name in self.entries:
            self.loop.resume(name)
        # A wait that ends in the same turn swallows the cancellation of its task.
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.wait(tasks, timeout=1))
        self.loop.close()
        asyncio.set_event_loop(None)

    def silence_calls(self):
        """Lose the answers of all calls to the store that are under way."""
        self.silenced_at = self.loop.now

    def cut(self, name, *others):
        """Silence the links from an entry to others, or to the store."""
        self._cut.update(frozenset((name, other)) for other in others)

    def restore(self, name, *others):
        """End the silence of links."""
        self._cut.difference_update(
            frozenset((name, other)) for other in others
        )

    def is_cut(self, name, other):
        return frozenset((name, other)) in self._cut

    def readers(self):
        return [
            entry
            for entry in self.entries.values()
            if entry.state_sync.reads_store
        ]
