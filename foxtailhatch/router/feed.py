"""Wire format and client of the feed, which passes log records between entries.

A request names the positions that the requesting entry has reached, and
describes that entry.  The response has the records written since, and the age
of the responder's data in each topic, so that data never looks fresher after
being passed on.  The age is that at the arrival of the request, so the time for
which the response was held does not make the data look older either.  Positions are those of the log: an entry may switch between
the store and any other entry.

Fields are told by their places.  Those after the ones known here are a later
build's, and are ignored, as are topics unknown here.
"""

from dataclasses import dataclass, field
from math import isfinite
from typing import Any

import cbor2
from returns.result import Failure, Result, Success

from foxtailhatch.core.cbor import decode_cbor
from foxtailhatch.fleet.estimate import WorkByEndpoint
from foxtailhatch.relay.http_client import (
    MAX_RECORDS_BYTES,
    HttpCall,
    HttpClient,
    HttpResponse,
)
from foxtailhatch.router.demand_messages import raw_field
from foxtailhatch.router.entry_table import EntryRecord, decode_entry
from foxtailhatch.router.keyed_log import KeyedRecord, LogPosition, Topic
from foxtailhatch.router.mirror import Mirror, TopicMirror
from foxtailhatch.router.work_totals import decode_work, encode_work

FEED_PATH = b'/feed'
# Without news, the response is sent this long after the request.  It is longer
# than the time between two reads of the store.
FEED_WAIT_S = 0.6
# If a peer has not responded by then, the store or another peer is used.
FEED_TIMEOUT_S = 1.2
STATUS_OK = 200

# Exceptions that malformed input raises during decoding.
_DECODE_ERRORS = (ValueError, TypeError, AttributeError)
_TOPIC_FIELDS = 4
_TOPIC_NAMES = frozenset(map(str, Topic))

Positions = dict[Topic, LogPosition | None]


@dataclass(frozen=True, slots=True)
class FeedRequest:
    """The requesting entry, its positions, and its work in progress.

    ``unknown_topics`` were requested too, but this build does not know them.
    ``demand`` is the encoded report of its demand, if any service asks for it.
    """

    entry: EntryRecord
    positions: Positions
    work: WorkByEndpoint = field(default_factory=dict)
    unknown_topics: tuple[str, ...] = ()
    demand: bytes | None = None

    def encode(self) -> bytes:
        """Return the body of the HTTP request."""
        positions = {
            topic.value: _encode_position(end)
            for topic, end in self.positions.items()
        }
        fields = [self.entry.fields(), positions, encode_work(self.work)]
        return bytes(cbor2.dumps(_with_demand(fields, self.demand)))


@dataclass(frozen=True, slots=True)
class TopicUpdate:
    """Records of one topic since the requested position.

    If ``is_snapshot``, they are the latest record of each key instead.
    ``age_s`` is the age of the responder's data when the request arrived, or
    ``None`` if it has none.  It is negative if they were confirmed since.
    """

    records: tuple[KeyedRecord, ...]
    end: LogPosition | None
    is_snapshot: bool
    age_s: float | None


@dataclass(frozen=True, slots=True)
class FeedResponse:
    """Updates of the requested topics, and the work of all other entries.

    ``reads_store`` is true if the responder reads the store itself.
    ``demand`` has the encoded sums of the demand of all other entries, if the
    responder has valid ones.
    """

    topics: dict[Topic, TopicUpdate]
    work: WorkByEndpoint = field(default_factory=dict)
    reads_store: bool = True
    demand: bytes | None = None


@dataclass(frozen=True, slots=True)
class ResponderState:
    """The fields of a response besides the updates of its topics."""

    work: WorkByEndpoint
    reads_store: bool
    demand: bytes | None = None


def decode_feed_request(raw: bytes) -> Result[FeedRequest, str]:
    """Return the request of another entry, or why it is malformed."""
    try:
        return _read_request(raw)
    except _DECODE_ERRORS as exc:
        return Failure(str(exc))


def encode_feed_response(
    mirror: Mirror,
    request: FeedRequest,
    responder: ResponderState,
    arrived_at: float,
) -> bytes:
    """Return the body of the response to a request that came at ``arrived_at``."""
    topics = {
        topic.value: _encode_topic(mirror.topics[topic], position, arrived_at)
        for topic, position in request.positions.items()
    }
    fields = [topics, encode_work(responder.work), responder.reads_store]
    return bytes(cbor2.dumps(_with_demand(fields, responder.demand)))


def decode_feed_response(raw: bytes) -> Result[FeedResponse, str]:
    """Return the response of another entry, or why it is malformed."""
    try:
        response = _read_response(raw)
    except _DECODE_ERRORS as exc:
        return Failure(str(exc))
    return Success(response)


class FeedClient:
    """Client for the feed of one other entry."""

    def __init__(self, reactor: Any, address: str) -> None:
        """Use at most one connection to ``address``."""
        self._client = HttpClient(reactor, address, max_idle=1)

    async def fetch(self, request: FeedRequest) -> Result[FeedResponse, str]:
        """Return the records since the positions of ``request``."""
        response = await self._client.call(
            HttpCall(
                'POST',
                FEED_PATH.decode(),
                request.encode(),
                FEED_TIMEOUT_S,
                MAX_RECORDS_BYTES,
            ),
        )
        return (
            response.alt(lambda failure: failure.value)
            .bind(_decode_http)
            .bind(lambda decoded: check_topics(decoded, request))
        )


def check_topics(
    response: FeedResponse, request: FeedRequest
) -> Result[FeedResponse, str]:
    """Return the response if it has all topics that were requested."""
    missing = request.positions.keys() - response.topics.keys()
    if missing:
        listed = ', '.join(sorted(missing))
        return Failure(f'topics missing: {listed}')
    return Success(response)


def _decode_http(response: HttpResponse) -> Result[FeedResponse, str]:
    if response.status != STATUS_OK:
        return Failure(f'status {response.status}')
    return decode_feed_response(response.body)


def _with_demand(fields: list[Any], demand: bytes | None) -> list[Any]:
    """Append the demand; without any, the message is as in earlier builds."""
    return fields if demand is None else [*fields, demand]


def _encode_topic(
    mirror: TopicMirror,
    position: LogPosition | None,
    arrived_at: float,
) -> list[Any]:
    confirmed_at = mirror.confirmed_at
    if confirmed_at is None or mirror.end is None:
        return [[], None, False, None]
    records, is_snapshot = mirror.since(position)
    pairs = [[record.key, record.value] for record in records]
    end = _encode_position(mirror.end)
    return [pairs, end, is_snapshot, arrived_at - confirmed_at]


def _encode_position(position: LogPosition | None) -> list[int] | None:
    return None if position is None else [position.epoch, position.offset]


def _read_position(fields: Any) -> LogPosition | None:
    if fields is None:
        return None
    epoch, offset = map(int, fields[:2])
    if min(epoch, offset) < 0:
        raise ValueError('a position before the log')
    return LogPosition(epoch, offset)


def _read_request(raw: bytes) -> Result[FeedRequest, str]:
    fields, ends, raw_work, *further = decode_cbor(raw)
    positions = {
        Topic(name): _read_position(end)
        for name, end in ends.items()
        if name in _TOPIC_NAMES
    }
    unknown = tuple(str(name) for name in ends if name not in _TOPIC_NAMES)
    work = decode_work(raw_work)
    return decode_entry(fields).map(
        lambda entry: FeedRequest(
            entry, positions, work, unknown, raw_field(further)
        ),
    )


def _read_response(raw: bytes) -> FeedResponse:
    topics, work, reads_store, *further = decode_cbor(raw)
    return FeedResponse(
        {
            Topic(name): _read_topic(fields)
            for name, fields in topics.items()
            if name in _TOPIC_NAMES
        },
        decode_work(work),
        reads_store is True,
        raw_field(further),
    )


def _read_topic(fields: list[Any]) -> TopicUpdate:
    pairs, end, is_snapshot, age_s = fields[:_TOPIC_FIELDS]
    records = tuple(_read_record(key, content) for key, content, *_ in pairs)
    _check_age(age_s)
    return TopicUpdate(records, _read_position(end), is_snapshot is True, age_s)


def _read_record(key: Any, content: Any) -> KeyedRecord:
    if isinstance(key, str) and isinstance(content, bytes | None):
        return KeyedRecord(key, content)
    raise TypeError('a record without a key or with another content')


def _check_age(age_s: Any) -> None:
    """Raise an error unless an age is possible, or none is given.

    Data that were confirmed since the request arrived are younger than it by no
    more than the time for which the requesting entry waits.
    """
    if age_s is None:
        return
    if isinstance(age_s, bool) or not isinstance(age_s, int | float):
        raise TypeError('an age that is no number')
    if not isfinite(age_s) or age_s < -FEED_TIMEOUT_S:
        raise ValueError('an age that data cannot have')
