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
from foxtailhatch.fleet.estimate import WorkByEndpoint
from foxtailhatch.relay.http_client import HttpCall, HttpClient, HttpResponse
from foxtailhatch.router.entry_table import EntryRecord, decode_entry
from foxtailhatch.router.keyed_log import KeyedRecord, Topic
from foxtailhatch.router.mirror import Mirror, TopicMirror
from foxtailhatch.router.work_totals import decode_work, encode_work

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
class FeedRequest:
    """Who asks, how far it is in each topic, and its work in progress."""

    entry: EntryRecord
    offsets: Offsets
    work: WorkByEndpoint = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the call as it goes over the wire."""
        offsets = {topic.value: end for topic, end in self.offsets.items()}
        fields = [self.entry.fields(), offsets, encode_work(self.work)]
        return bytes(cbor2.dumps(fields))


@dataclass(frozen=True, slots=True)
class TopicUpdate:
    """What came in one topic; ``age_s`` is ``None`` if nothing is known."""

    records: tuple[KeyedRecord, ...]
    next_offset: int | None
    is_newest: bool
    age_s: float | None


@dataclass(frozen=True, slots=True)
class FeedResponse:
    """What came in each topic, and the work of all other entries.

    ``reads_store`` tells that the answering entry reads the store itself.
    """

    topics: dict[Topic, TopicUpdate]
    work: WorkByEndpoint = field(default_factory=dict)
    reads_store: bool = True


@dataclass(frozen=True, slots=True)
class ResponderState:
    """What the answering entry says beside the topics."""

    work: WorkByEndpoint
    reads_store: bool


def decode_feed_request(raw: bytes) -> Result[FeedRequest, str]:
    """Return the call that another entry made."""
    try:
        fields, wanted, work = _read_call(raw)
    except _UNREADABLE as exc:
        return Failure(str(exc))
    return decode_entry(fields).map(
        lambda entry: FeedRequest(entry, wanted, work),
    )


def encode_feed_response(
    mirror: Mirror,
    call: FeedRequest,
    own: ResponderState,
    now: float,
) -> bytes:
    """Return the answer to a call."""
    news = {
        topic.value: _topic_news(mirror.topics[topic], offset, now)
        for topic, offset in call.offsets.items()
    }
    fields = [news, encode_work(own.work), own.reads_store]
    return bytes(cbor2.dumps(fields))


def decode_feed_response(raw: bytes) -> Result[FeedResponse, str]:
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
        self._caller = HttpClient(reactor, address, kept=1)

    async def ask(self, call: FeedRequest) -> Result[FeedResponse, str]:
        """Return what came since the offsets of the call."""
        answered = await self._caller.call(
            HttpCall('POST', FEED_PATH.decode(), call.encode(), FEED_TIMEOUT_S),
        )
        return answered.alt(lambda lost: lost.value).bind(_news_of)


def _news_of(answer: HttpResponse) -> Result[FeedResponse, str]:
    if answer.status != STATUS_OK:
        return Failure(f'status {answer.status}')
    return decode_feed_response(answer.body)


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


def _read_call(raw: bytes) -> tuple[object, Offsets, WorkByEndpoint]:
    fields, ends, work = read_cbor(raw)
    offsets = {Topic(name): end for name, end in ends.items()}
    return fields, offsets, decode_work(work)


def _read_news(raw: bytes) -> FeedResponse:
    topics, work, reads_store = read_cbor(raw)
    return FeedResponse(
        {Topic(name): _read(one) for name, one in topics.items()},
        decode_work(work),
        reads_store is True,
    )


def _read(fields: list[Any]) -> TopicUpdate:
    pairs, next_offset, is_newest, age_s = fields
    records = tuple(KeyedRecord(key, found) for key, found in pairs)
    return TopicUpdate(records, next_offset, is_newest, age_s)
