"""Knowledge of the log, passed from entry to entry.

A call names the offsets that the caller has reached, and tells who the
caller is.  The answer brings what came since, and the age of the knowledge
in each topic, so that passing it on never makes it look newer.  Offsets are
the log's own: an entry may change between the store and any other entry.
"""

from dataclasses import dataclass
from typing import Any

import cbor2
from returns.result import Failure, Result, Success

from foxtailhatch.core.cbor import read_cbor
from foxtailhatch.relay.http_call import Answer, Call, HttpCaller
from foxtailhatch.router.entry_table import EntryRecord, decode_entry
from foxtailhatch.router.keyed_log import KeyedRecord, Topic
from foxtailhatch.router.mirror import Mirror, TopicMirror

FEED_PATH = b'/feed'
# An answer without urgent news comes this long after the call.
FEED_WAIT_S = 0.6
# A peer that has not answered by then is left for the store or another peer.
FEED_TIMEOUT_S = 1.2
STATUS_OK = 200

# What foreign bytes raise while they are taken apart.
_UNREADABLE = (ValueError, TypeError, AttributeError)

Offsets = dict[Topic, int | None]


@dataclass(frozen=True, slots=True)
class FeedCall:
    """Who asks, and how far it is in each topic."""

    entry: EntryRecord
    offsets: Offsets

    def encode(self) -> bytes:
        """Return the call as it goes over the wire."""
        offsets = {topic.value: end for topic, end in self.offsets.items()}
        return bytes(cbor2.dumps([self.entry.fields(), offsets]))


@dataclass(frozen=True, slots=True)
class TopicNews:
    """What came in one topic; ``age_s`` is ``None`` if nothing is known."""

    records: tuple[KeyedRecord, ...]
    next_offset: int | None
    is_newest: bool
    age_s: float | None


FeedNews = dict[Topic, TopicNews]


def decode_call(raw: bytes) -> Result[FeedCall, str]:
    """Return the call that another entry made."""
    try:
        fields, wanted = _read_call(raw)
    except _UNREADABLE as exc:
        return Failure(str(exc))
    return decode_entry(fields).map(lambda entry: FeedCall(entry, wanted))


def encode_news(mirror: Mirror, call: FeedCall, now: float) -> bytes:
    """Return the answer to a call."""
    news = {
        topic.value: _topic_news(mirror.topics[topic], offset, now)
        for topic, offset in call.offsets.items()
    }
    return bytes(cbor2.dumps(news))


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
        self._caller = HttpCaller(reactor, address, kept=1)

    async def ask(self, call: FeedCall) -> Result[FeedNews, str]:
        """Return what came since the offsets of the call."""
        answered = await self._caller.call(
            Call('POST', FEED_PATH.decode(), call.encode(), FEED_TIMEOUT_S),
        )
        return answered.alt(lambda lost: lost.value).bind(_news_of)


def _news_of(answer: Answer) -> Result[FeedNews, str]:
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


def _read_call(raw: bytes) -> tuple[object, Offsets]:
    fields, offsets = read_cbor(raw)
    return fields, {Topic(name): end for name, end in offsets.items()}


def _read_news(raw: bytes) -> FeedNews:
    found = read_cbor(raw)
    return {Topic(name): _read(one) for name, one in found.items()}


def _read(fields: list[Any]) -> TopicNews:
    pairs, next_offset, is_newest, age_s = fields
    records = tuple(KeyedRecord(key, found) for key, found in pairs)
    return TopicNews(records, next_offset, is_newest, age_s)
