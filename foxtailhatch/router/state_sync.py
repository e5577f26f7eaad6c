"""Keep the state up to date from the store or from another entry."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from returns.result import Success

from foxtailhatch.daemon.loops import Loops, Step
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.age_limits import AgeLimits
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.demand_messages import DemandReceiver
from foxtailhatch.router.demand_totals import SentReports
from foxtailhatch.router.entry_table import MAX_LIST_GAP_S, EntryRecord
from foxtailhatch.router.feed import FeedClient, FeedRequest, FeedResponse
from foxtailhatch.router.keyed_log import URGENT, KeyedRecord, Topic
from foxtailhatch.router.mirror import Mirror
from foxtailhatch.router.record_applier import PromptRecords, RecordApplier
from foxtailhatch.router.source_selector import Source, SourceSelector
from foxtailhatch.router.topic_follower import OnRecords, TopicFollower

# Wait time of long-polling reads of the store, during which a lost connection
# goes unnoticed.
WAITS_S = {
    Topic.CONFIGURATION: 0.5,
    Topic.OBSERVATIONS: 4.0,
    Topic.ENDPOINTS: 0,
    Topic.ENTRIES: 0,
}
# Pauses between reads of the store.  A draining endpoint may get no new work
# after two seconds, so its record must be read well before.
PERIODS_S = {
    Topic.CONFIGURATION: 0,
    # Many entries observe the same dead engine at once; the pause batches
    # their records.
    Topic.OBSERVATIONS: 0.1,
    Topic.ENDPOINTS: 0.6,
    Topic.ENTRIES: 1.5,
}
# Pause between reads of the heartbeats if they report demand, which may double
# within a second or two.
DEMAND_PERIOD_S = 0.5
# Pause after a failed read.
RETRY_PERIOD_S = 0.3
# Pause before a snapshot, if the store no longer has the records at a position.
SNAPSHOT_PERIOD_S = 0.1
# Pause while another source is in use.
IDLE_PERIOD_S = 0.25
# For this time after its start, an entry waits for heartbeats of other entries:
# if one of them reads the store, it gets the other topics from there.  The time
# covers two periods in which heartbeats are checked.
STARTUP_S = 0.6
# Topics that are read once during the startup, to serve the first requests.
STARTUP_TOPICS = frozenset((Topic.CONFIGURATION, Topic.ENDPOINTS))
STARTUP_PERIOD_S = 0.25
# For this time after the store has returned from an older copy, the records that
# endpoints have written since may be missing there.
RESTORE_SETTLING_S = 2.0
# Topics whose age is limited, as each request depends on them.
AGE_LIMITED = (Topic.CONFIGURATION, Topic.ENDPOINTS)
# Topics that an entry reads beside the configuration when its data get too old.
CATCH_UP_TOPICS = (Topic.ENDPOINTS, Topic.OBSERVATIONS)
# Shortest and longest time between two checks of the age.
AGE_CHECK_MIN_S = 0.05
AGE_CHECK_MAX_S = 1.0


class StateSync:
    """Follow all topics, from the source that is selected."""

    def __init__(
        self,
        board: Blackboard,
        adapter: PlatformAdapter,
        log: StructuredLog,
        own: Callable[[], EntryRecord],
        make_client: Callable[[str], FeedClient],
        is_working: Callable[[str, float], bool],
        prompts: PromptRecords,
    ) -> None:
        """Create the followers; reading begins with :meth:`start`."""
        self.mirror = Mirror()
        self.reading_store_since: float | None = None
        self._board = board
        self._adapter = adapter
        self._log = log
        self._own = own
        self._make_client = make_client
        self._clients: dict[str, FeedClient] = {}
        self._selector = SourceSelector(own())
        self._demand_receiver = DemandReceiver(board.known_services, log)
        self._sent_reports = SentReports(board.cfg.zone)
        self._limits = AgeLimits.of(board.cfg.bounds)
        self._outage = board.outage
        self._waits_s = _limited(WAITS_S, self._limits.poll_s)
        self._periods_s = _limited(PERIODS_S, self._limits.poll_s)
        self._source_name = ''
        self._started_at = board.clock()
        applier = RecordApplier(board, log, adapter, is_working, prompts)
        self._applier = applier
        self._followers = {
            topic: self._make_follower(topic, on_records)
            for topic, on_records in (
                (Topic.CONFIGURATION, self._apply_configuration),
                (Topic.OBSERVATIONS, self._apply_observations),
                (Topic.ENDPOINTS, self._apply_endpoints),
                (Topic.ENTRIES, self._apply_entries),
            )
        }

    @property
    def reads_store(self) -> bool:
        """Return whether this entry reads the store itself."""
        return self.reading_store_since is not None

    def start(self, loops: Loops) -> None:
        """Start a loop for each topic, and one for the feed."""
        for loop in map(self._store_loop, self._followers):
            loops.repeat(*loop)
        loops.repeat(lambda: self._feed_pause_s(), self._feed_step)
        loops.repeat(lambda: self._age_check_pause_s(), self._age_step)

    def refresh(self) -> None:
        """Update the age of the configuration, and expire lapsed endpoints."""
        follower = self._followers[Topic.CONFIGURATION]
        self._board.configuration_confirmed_at = follower.confirmed_at
        self._confirm_entries(self._followers[Topic.ENTRIES].confirmed_at)
        if follower.position is not None:
            self._board.store_epoch = follower.position.epoch
        now = self._board.clock()
        for name in self._board.endpoints.remove_lapsed(now):
            self._log.write('endpoint_gone', name=name, why='lapsed')

    def _confirm_entries(self, confirmed_at: float | None) -> None:
        """Note until when the heartbeats are known, and when some were missed."""
        board = self._board
        known = board.entries_confirmed_at
        board.entries_confirmed_at = confirmed_at
        if known is None or confirmed_at is None:
            return
        if confirmed_at - known > MAX_LIST_GAP_S:
            board.heartbeats_missed_until = confirmed_at

    def _make_follower(
        self, topic: Topic, on_records: OnRecords
    ) -> TopicFollower:
        return TopicFollower(
            self._adapter.store,
            topic,
            self.mirror.topics[topic],
            on_records,
            self._log,
            self._outage,
            self._board.clock,
        )

    def _apply_configuration(
        self, records: Iterable[KeyedRecord], is_snapshot: bool
    ) -> None:
        """Apply configurations; feed other entries no older one than that."""
        self._applier.apply_configuration(records, is_snapshot)
        in_force = self._applier.configuration_in_force
        if is_snapshot and in_force is not None and in_force.value is not None:
            latest = self.mirror.topics[Topic.CONFIGURATION].latest
            latest[in_force.key] = in_force.value

    def _apply_endpoints(
        self, records: Iterable[KeyedRecord], is_snapshot: bool
    ) -> None:
        self._applier.apply_endpoints(
            records,
            self._outage.lapses_until(self._board.clock()),
            is_snapshot=is_snapshot,
        )

    def _apply_observations(
        self, records: Iterable[KeyedRecord], is_snapshot: bool
    ) -> None:
        self._applier.apply_observations(
            records,
            is_snapshot=is_snapshot,
            is_restored=self._is_restored(Topic.OBSERVATIONS),
        )

    def _apply_entries(
        self, records: Iterable[KeyedRecord], is_snapshot: bool
    ) -> None:
        self._applier.apply_entries(
            records,
            is_snapshot=is_snapshot,
            is_restored=self._is_restored(Topic.ENTRIES),
        )

    def _is_restored(self, topic: Topic) -> bool:
        """Return whether the store has just returned from an older copy."""
        restored_at = self._followers[topic].restored_at
        if restored_at is None:
            return False
        return self._board.clock() - restored_at < RESTORE_SETTLING_S

    def _store_loop(
        self,
        topic: Topic,
    ) -> tuple[Callable[[], float], Step]:
        """Return the pause and the step of the loop that reads a topic."""
        follower = self._followers[topic]

        def pause_s() -> float:  # noqa: WPS430
            if not self._may_read_store(topic):
                return IDLE_PERIOD_S
            if follower.is_lost:
                return RETRY_PERIOD_S
            if follower.is_snapshot_due:
                return min(SNAPSHOT_PERIOD_S, self._periods_s[topic])
            if topic is Topic.ENTRIES:
                return self._entries_period_s()
            return self._periods_s[topic]

        async def step() -> None:  # noqa: WPS430
            if self._may_read_store(topic):
                await self._read_store(topic)

        return pause_s, step

    def _entries_period_s(self) -> float:
        if self._is_starting():
            return STARTUP_PERIOD_S
        if self._board.features.reporting_services:
            return DEMAND_PERIOD_S
        return self._periods_s[Topic.ENTRIES]

    def _may_read_store(self, topic: Topic) -> bool:
        """Return whether to read a topic from the store now.

        During an outage only one topic is read, which is enough to notice the
        end of the outage.
        """
        if not self._select_source().is_store:
            return False
        if topic is Topic.CONFIGURATION:
            return True
        if self._followers[Topic.CONFIGURATION].is_lost:
            return False
        is_first = self._followers[topic].position is None
        is_startup_read = topic in STARTUP_TOPICS and is_first
        return (
            is_startup_read or topic is Topic.ENTRIES or not self._is_starting()
        )

    def _is_starting(self) -> bool:
        return self._board.clock() - self._started_at < STARTUP_S

    async def _read_store(self, topic: Topic) -> None:
        follower = self._followers[topic]
        confirmed_at = follower.confirmed_at
        has_records = await follower.step(self._waits_s[topic])
        if follower.is_lost and topic is Topic.CONFIGURATION:
            self._selector.store_failed(self._board.clock())
        self.refresh()
        is_confirmed = (
            topic is Topic.CONFIGURATION
            and follower.confirmed_at != confirmed_at
        )
        if is_confirmed or (has_records and topic in URGENT):
            self.mirror.notify()

    def _age_s(self, now: float) -> float:
        """Return the age of the oldest data that requests depend on.

        Data that this entry does not have yet have no age.  An entry that has
        just begun to read the store gets the time of a read.
        """
        times = (
            self._followers[topic].confirmed_at or now for topic in AGE_LIMITED
        )
        return now - max(min(times), self.reading_store_since or 0)

    def _age_check_pause_s(self) -> float:
        pause_s = self._limits.next_check_s(
            self._age_s(self._board.clock()), is_reader=self.reads_store
        )
        return min(max(pause_s, AGE_CHECK_MIN_S), AGE_CHECK_MAX_S)

    async def _age_step(self) -> None:
        """Read elsewhere if the data get too old, whatever the reason."""
        now = self._board.clock()
        is_reader = self._select_source().is_store
        age_s = self._age_s(now)
        is_due = self._limits.next_check_s(age_s, is_reader=is_reader) <= 0
        if not is_due or not self._selector.may_catch_up(now):
            return
        self._log.write(
            'data_overdue', source=self._source_name, age_s=round(age_s, 2)
        )
        if is_reader:
            self._selector.store_failed(now)
        else:
            await self._catch_up()

    async def _catch_up(self) -> None:
        """Read the store once, although a peer is the source.

        All entries may do so at once, and the store may be in trouble: whether
        it answers is tried with one call.
        """
        followers = self._followers
        failures = followers[Topic.CONFIGURATION].failures
        await followers[Topic.CONFIGURATION].step()
        if followers[Topic.CONFIGURATION].failures > failures:
            self._selector.store_failed(self._board.clock())
            return
        await asyncio.gather(
            *(followers[topic].step() for topic in CATCH_UP_TOPICS)
        )
        self.refresh()
        self.mirror.notify()

    def _select_source(self) -> Source:
        board = self._board
        source = self._selector.select(board.entries, board.clock())
        if source.name != self._source_name:
            self._log.write(
                'source_selected',
                peer=source.name,
                before=self._source_name,
                age_s=board.configuration_age(board.clock()),
            )
            self._source_name = source.name
            self._set_reads_store(reads_store=source.is_store)
        return source

    def _set_reads_store(self, *, reads_store: bool) -> None:
        self.mirror.is_from_store = reads_store
        self.reading_store_since = self._board.clock() if reads_store else None

    def _feed_pause_s(self) -> float:
        return IDLE_PERIOD_S if self._select_source().peer is None else 0

    async def _feed_step(self) -> None:
        peer = self._select_source().peer
        if peer is None:
            return
        sent_at = self._board.clock()
        positions = {
            topic: follower.position
            for topic, follower in self._followers.items()
        }
        client = self._client(peer.peer_address)
        request = FeedRequest(
            self._own(),
            positions,
            self._board.own_work(),
            demand=self._sent_reports.encode(self._board.own_demand_report()),
        )
        fetched = await client.fetch(request)
        now = self._board.clock()
        if not isinstance(fetched, Success):
            self._selector.peer_failed(peer.name, now)
            self._log.write(
                'peer_failed',
                peer=peer.name,
                why=fetched.failure(),
            )
            return
        self._apply_response(peer, fetched.unwrap(), sent_at)

    def _apply_response(
        self,
        peer: EntryRecord,
        response: FeedResponse,
        sent_at: float,
    ) -> None:
        self._board.update_peer_work(response.work, self._board.clock())
        self._update_demand(peer.name, response.demand)
        confirmed_at = self._followers[Topic.CONFIGURATION].confirmed_at
        for followed, update in response.topics.items():
            self._followers[followed].apply_update(update, sent_at)
        self.refresh()
        has_records = any(response.topics[topic].records for topic in URGENT)
        follower = self._followers[Topic.CONFIGURATION]
        if has_records or follower.confirmed_at != confirmed_at:
            self.mirror.notify()
        now = self._board.clock()
        age_s = response.topics[Topic.CONFIGURATION].age_s
        if age_s is None or now - sent_at + age_s > self._limits.fed_s:
            self._selector.peer_outdated(
                peer.name, now, reads_store=response.reads_store
            )
            self._log.write(
                'peer_outdated',
                peer=peer.name,
                age_s=age_s,
                reads_store=response.reads_store,
            )

    def _update_demand(self, peer: str, raw: bytes | None) -> None:
        if self._board.features.reporting_services:
            now = self._board.clock()
            received = self._demand_receiver.response(raw, peer, now)
            others = received and self._sent_reports.exclude(*received)
            self._board.update_demand(others, now)

    def _client(self, address: str) -> FeedClient:
        client = self._clients.get(address)
        if client is None:
            client = self._make_client(address)
            self._clients[address] = client
        return client


def _limited(
    seconds: Mapping[Topic, float], limit_s: float
) -> dict[Topic, float]:
    """Return the times by topic, limited for the topics of limited age."""
    return {
        topic: min(time_s, limit_s) if topic in AGE_LIMITED else time_s
        for topic, time_s in seconds.items()
    }
