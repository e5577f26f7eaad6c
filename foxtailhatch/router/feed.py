"""Knowledge of the log, passed from entry to entry.

A call names the offsets that the caller has reached, and tells who the
caller is.  The answer brings what came since, and the age of the knowledge
in each topic, so that passing it on never makes it look newer.  Offsets are
the log's own: an entry may change between the store and any other entry.
"""

from dataclasses import dataclass, field
from typing import Any

import cbor2
from returns.result import Failure, Result, Success

from foxtailhatch.core.cbor import read_cbor
from foxtailhatch.fleet.estimate import WorkByName
from foxtailhatch.relay.http_client import HttpCall, HttpClient, HttpResponse
from foxtailhatch.router.entry_table import EntryRecord, decode_entry
from foxtailhatch.router.keyed_log import KeyedRecord, Topic
from foxtailhatch.router.mirror import Mirror, TopicMirror
from foxtailhatch.router.work_totals import read_work, work_fields

FEED_PATH = b'/feed'
# An answer without urgent news comes this long after the call.
FEED_WAIT_S = 0.5
# A peer that has not answered by then is left for the store or another peer.
FEED_TIMEOUT_S = 1.2
STATUS_OK = 200

# What foreign bytes raise while they are taken apart.
_UNREADABLE = (ValueError, TypeError, AttributeError)

Offsets = dict[Topic, int | None]


@dataclass(frozen=True, slots=True)
class FeedCall:
    """Who asks, how far it is in each topic, and its work in progress."""

    entry: EntryRecord
    offsets: Offsets
    work: WorkByName = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the call as it goes over the wire."""
        offsets = {topic.value: end for topic, end in self.offsets.items()}
        fields = [self.entry.fields(), offsets, work_fields(self.work)]
        return bytes(cbor2.dumps(fields))


@dataclass(frozen=True, slots=True)
class TopicNews:
    """What came in one topic; ``age_s`` is ``None`` if nothing is known."""

    records: tuple[KeyedRecord, ...]
    next_offset: int | None
    is_newest: bool
    age_s: float | None


@dataclass(frozen=True, slots=True)
class FeedNews:
    """What came in each topic, and the work of all other entries.

    ``reads_store`` tells that the answering entry reads the store itself.
    """

    topics: dict[Topic, TopicNews]
    work: WorkByName = field(default_factory=dict)
    reads_store: bool = True


@dataclass(frozen=True, slots=True)
class OwnNews:
    """What the answering entry says beside the topics."""

    work: WorkByName
    reads_store: bool


def decode_call(raw: bytes) -> Result[FeedCall, str]:
    """Return the call that another entry made."""
    try:
        fields, wanted, work = _read_call(raw)
    except _UNREADABLE as exc:
        return Failure(str(exc))
    return decode_entry(fields).map(
        lambda entry: FeedCall(entry, wanted, work),
    )


def encode_news(
    mirror: Mirror,
    call: FeedCall,
    own: OwnNews,
    now: float,
) -> bytes:
    """Return the answer to a call."""
    news = {
        topic.value: _topic_news(mirror.topics[topic], offset, now)
        for topic, offset in call.offsets.items()
    }
    fields = [news, work_fields(own.work), own.reads_store]
    return bytes(cbor2.dumps(fields))


def decode_news(raw: bytes) -> Result[FeedNews, str]:
    """Return what another entry answered."""
    try:
        news = _read_news(raw)
    except _UNREADABLE as exc:
        return Failure(str(exc))
    return Success(news)


class FeedClient:
    """Ask one other entry for news."""

    def __init__(self, reactor: Any, address: str) -> None:
        """Keep one connection to the entry."""
        self._caller = HttpClient(reactor, address, max_idle=1)

    async def ask(self, call: FeedCall) -> Result[FeedNews, str]:
        """Return what came since the offsets of the call."""
        answered = await self._caller.call(
            HttpCall('POST', FEED_PATH.decode(), call.encode(), FEED_TIMEOUT_S),
        )
        return answered.alt(lambda lost: lost.value).bind(_news_of)


def _news_of(answer: HttpResponse) -> Result[FeedNews, str]:
    if answer.status != STATUS_OK:
        return Failure(f'status {answer.status}')
    return decode_news(answer.body)


def _topic_news(
    mirror: TopicMirror,
    offset: int | None,
    now: float,
) -> list[Any]:
    confirmed_at = mirror.confirmed_at
    if confirmed_at is None or mirror.next_offset is None:
        return [[], None, False, None]
    records, is_newest = mirror.since(offset)
    pairs = [[record.key, record.value] for record in records]
    return [pairs, mirror.next_offset, is_newest, now - confirmed_at]


def _read_call(raw: bytes) -> tuple[object, Offsets, WorkByName]:
    fields, ends, work = read_cbor(raw)
    offsets = {Topic(name): end for name, end in ends.items()}
    return fields, offsets, read_work(work)


def _read_news(raw: bytes) -> FeedNews:
    topics, work, reads_store = read_cbor(raw)
    return FeedNews(
        {Topic(name): _read(one) for name, one in topics.items()},
        read_work(work),
        reads_store is True,
    )


def _read(fields: list[Any]) -> TopicNews:
    pairs, next_offset, is_newest, age_s = fields
    records = tuple(KeyedRecord(key, found) for key, found in pairs)
    return TopicNews(records, next_offset, is_newest, age_s)
