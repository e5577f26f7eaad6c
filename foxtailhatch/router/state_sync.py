"""Keep the blackboard up to date from the store or from another entry."""

from collections.abc import Callable, Iterable

from returns.result import Success

from foxtailhatch.daemon.loops import Loops, Step
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.feed import FeedClient, FeedRequest, FeedResponse
from foxtailhatch.router.keyed_log import KeyedRecord, Topic
from foxtailhatch.router.mirror import Mirror
from foxtailhatch.router.record_applier import RecordApplier
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.router.source_selector import (
    INDIRECT_PEER_AGE_MAX_S,
    PEER_AGE_MAX_S,
    Source,
    SourceSelector,
)
from foxtailhatch.router.topic_follower import OnRecords, TopicFollower

# How long a read of the store waits for something new.  The age of keys
# grows as long, and has to stay below the revocation bound.
WAITS_S = {
    Topic.CONFIGURATION: 0.8,
    Topic.OBSERVATIONS: 4.0,
    Topic.ENDPOINTS: 0,
    Topic.ENTRIES: 0,
}
# Pauses between reads.  Endpoints must be known to leave well within the two
# seconds after which they may get no new work.
PERIODS_S = {
    Topic.CONFIGURATION: 0,
    # Many entries find the same engine dead at once.
    Topic.OBSERVATIONS: 0.1,
    Topic.ENDPOINTS: 0.6,
    Topic.ENTRIES: 1.5,
}
# After a failed read, and while another entry is the source.
RETRY_PERIOD_S = 0.3
IDLE_PERIOD_S = 0.15
# A process that has just started learns which entries are there: if one of them
# reads the store, the rest comes from it.  Source: two looks of heartbeats.
NEWCOMER_S = 0.6
# What it reads once to serve its first requests.
NEWCOMER_TOPICS = frozenset((Topic.CONFIGURATION, Topic.ENDPOINTS))
NEWCOMER_PERIOD_S = 0.25
URGENT = frozenset((Topic.CONFIGURATION, Topic.OBSERVATIONS))


class StateSync:
    """The followers of all topics, and where they learn from."""

    def __init__(
        self,
        board: RouterState,
        adapter: PlatformAdapter,
        log: StructuredLog,
        own: Callable[[], EntryRecord],
        make_client: Callable[[str], FeedClient],
        is_working: Callable[[str, float], bool],
    ) -> None:
        """Prepare the followers; nothing is read yet."""
        self.mirror = Mirror()
        self.reading_store_since: float | None = None
        self._board = board
        self._adapter = adapter
        self._log = log
        self._own = own
        self._make_client = make_client
        self._clients: dict[str, FeedClient] = {}
        self._sources = SourceSelector(own())
        self._source_name = ''
        self._started_at = board.clock()
        know = RecordApplier(board, log, adapter, is_working)
        self._know = know
        self._followers = {
            topic: self._follower(topic, on_records)
            for topic, on_records in (
                (Topic.CONFIGURATION, know.configuration),
                (Topic.OBSERVATIONS, know.findings),
                (Topic.ENDPOINTS, self._listed),
                (Topic.ENTRIES, know.entries),
            )
        }

    @property
    def reads_store(self) -> bool:
        """Tell whether this entry reads the store itself."""
        return self.reading_store_since is not None

    def start(self, loops: Loops) -> None:
        """Start to read."""
        for loop in map(self._loop, self._followers):
            loops.paced(*loop)
        loops.paced(lambda: self._feed_pause_s(), self._feed_step)

    def refresh(self) -> None:
        """Note what the followers know on the blackboard."""
        follower = self._followers[Topic.CONFIGURATION]
        self._board.configuration_confirmed_at = follower.confirmed_at
        now = self._board.clock()
        for name in self._board.endpoints.remove_lapsed(now):
            self._log.write('endpoint_gone', name=name, why='lapsed')

    def _follower(self, topic: Topic, on_records: OnRecords) -> TopicFollower:
        return TopicFollower(
            self._adapter.store,
            topic,
            self.mirror.topics[topic],
            on_records,
            self._log,
            self._board.clock,
        )

    def _listed(self, records: Iterable[KeyedRecord], newest: bool) -> None:
        failed_at = self._followers[Topic.ENDPOINTS].failed_at
        self._know.endpoints(records, failed_at, newest=newest)

    def _loop(
        self,
        topic: Topic,
    ) -> tuple[Callable[[], float], Step]:
        follower = self._followers[topic]

        def pause_s() -> float:  # noqa: WPS430
            if not self._reads(topic):
                return IDLE_PERIOD_S
            if follower.is_lost:
                return RETRY_PERIOD_S
            is_hasty = topic is Topic.ENTRIES and self._is_newcomer()
            return NEWCOMER_PERIOD_S if is_hasty else PERIODS_S[topic]

        async def step() -> None:  # noqa: WPS430
            if self._reads(topic):
                await self._read(topic)

        return pause_s, step

    def _reads(self, topic: Topic) -> bool:
        """Tell whether to read a topic from the store now.

        While the store is away one topic is enough to find out that it is
        back.
        """
        if not self._source().is_store:
            return False
        if topic is Topic.CONFIGURATION:
            return True
        if self._followers[Topic.CONFIGURATION].is_lost:
            return False
        is_first = self._followers[topic].offset is None
        has_its_turn = topic in NEWCOMER_TOPICS and is_first
        return has_its_turn or topic is Topic.ENTRIES or not self._is_newcomer()

    def _is_newcomer(self) -> bool:
        return self._board.clock() - self._started_at < NEWCOMER_S

    async def _read(self, topic: Topic) -> None:
        follower = self._followers[topic]
        has_news = await follower.step(WAITS_S[topic])
        if follower.is_lost and topic is Topic.CONFIGURATION:
            self._sources.store_failed(self._board.clock())
        self.refresh()
        if has_news and topic in URGENT:
            self.mirror.signal()

    def _source(self) -> Source:
        board = self._board
        source = self._sources.choose(board.entries, board.clock())
        if source.name != self._source_name:
            self._source_name = source.name
            self._note_reader(reads_store=source.is_store)
            self._log.write('source', peer=source.name)
        return source

    def _note_reader(self, *, reads_store: bool) -> None:
        self.mirror.is_from_store = reads_store
        self.reading_store_since = self._board.clock() if reads_store else None

    def _feed_pause_s(self) -> float:
        return IDLE_PERIOD_S if self._source().peer is None else 0

    async def _feed_step(self) -> None:
        peer = self._source().peer
        if peer is None:
            return
        sent_at = self._board.clock()
        offsets = {
            topic: follower.offset
            for topic, follower in self._followers.items()
        }
        client = self._client(peer.peer_address)
        work = self._board.loads.in_progress()
        answer = await client.ask(FeedRequest(self._own(), offsets, work))
        now = self._board.clock()
        if not isinstance(answer, Success):
            self._sources.peer_failed(peer.name, now)
            self._log.write(
                'peer_failed',
                peer=peer.name,
                why=answer.failure(),
            )
            return
        self._take(peer, answer.unwrap(), sent_at)

    def _take(
        self,
        peer: EntryRecord,
        news: FeedResponse,
        sent_at: float,
    ) -> None:
        self._board.peer_work.update(news.work, self._board.clock())
        for topic, one in news.topics.items():
            self._followers[topic].take(one, sent_at)
        self.refresh()
        if any(news.topics[urgent].records for urgent in URGENT):
            self.mirror.signal()
        age_s = news.topics[Topic.CONFIGURATION].age_s
        is_fed = peer.zone != self._board.cfg.zone and not news.reads_store
        oldest_s = INDIRECT_PEER_AGE_MAX_S if is_fed else PEER_AGE_MAX_S
        if age_s is None or age_s > oldest_s:
            self._sources.peer_outdated(
                peer.name,
                self._board.clock(),
                reads_store=news.reads_store,
            )
            self._log.write(
                'peer_outdated',
                peer=peer.name,
                age_s=age_s,
                reads_store=news.reads_store,
            )

    def _client(self, address: str) -> FeedClient:
        client = self._clients.get(address)
        if client is None:
            client = self._make_client(address)
            self._clients[address] = client
        return client
