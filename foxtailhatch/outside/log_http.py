"""Client of the log service over HTTP and JSON."""

from typing import Final

from pydantic import BaseModel, ConfigDict, TypeAdapter
from returns.result import Failure, Result, Success

from foxtailhatch.core import Address
from foxtailhatch.outside.first_fault import first_fault_only
from foxtailhatch.outside.http_bodies import MAX_BODY_BYTES
from foxtailhatch.outside.http_client import (
    RESPONSE_TIMEOUT_S,
    HttpCall,
    HttpClient,
    build_path,
)
from foxtailhatch.outside.json_responses import parse_response
from foxtailhatch.outside.log_offsets import (
    MAX_EPOCH,
    MAX_OFFSET,
    epoch_of,
    offset_in_epoch,
    ordered_offset,
)
from foxtailhatch.outside.protocols import (
    LogPage,
    LogRecord,
    PlatformError,
    PlatformFault,
)


class RecordDocument(BaseModel):
    """JSON document of a record, with the body in URL-safe base64."""

    model_config = ConfigDict(ser_json_bytes='base64', val_json_bytes='base64')

    offset: int
    time: float
    body: bytes

    @classmethod
    def of(cls, record: LogRecord) -> 'RecordDocument':
        """Return the document of a record."""
        return cls(offset=record.offset, time=record.time, body=record.body)

    def record(self, epoch: int = 0) -> LogRecord:
        """Return the record of this document, read in an epoch of the log."""
        offset = ordered_offset(epoch, self.offset)
        return LogRecord(offset, self.time, self.body)


class LogDocument(BaseModel):
    """JSON document of a page of a stream.

    ``epoch`` rises each time the log returns from an older copy.
    """

    records: list[RecordDocument]
    first: int
    end: int
    epoch: int = 0

    def page(self) -> LogPage:
        """Return the page of this document."""
        return LogPage(
            tuple(record.record(self.epoch) for record in self.records),
            ordered_offset(self.epoch, self.first),
            ordered_offset(self.epoch, self.end),
        )


class AppendedDocument(BaseModel):
    """JSON document of the response to an append."""

    offset: int
    epoch: int = 0


_pages: Final = first_fault_only(TypeAdapter(LogDocument))
_appended: Final = TypeAdapter(AppendedDocument)


class HttpLogService:
    """The platform's append-only log at one address."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        """Create the client; ``timeout_s`` limits each call."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[int, PlatformError]:
        """Append one record and return its offset in the stream."""
        call = HttpCall(
            'POST',
            build_path('streams', stream),
            body,
            'application/octet-stream',
        )
        response = await self._client.send(self._address, call, self._timeout_s)
        return response.bind(
            lambda reply: parse_response(_appended, reply),
        ).map(lambda reply: ordered_offset(reply.epoch, reply.offset))

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int,
    ) -> Result[LogPage, PlatformError]:
        """Read from ``offset``, or from the oldest retained record after it.

        A page of a later epoch than that of ``offset`` has no records, as
        those at ``offset`` do not follow what was read before.
        """
        path = build_path('streams', stream)
        start = offset_in_epoch(offset)
        call = HttpCall(
            'GET',
            f'{path}?from={start}&limit={limit}',
            max_bytes=MAX_BODY_BYTES,
        )
        response = await self._client.send(self._address, call, self._timeout_s)
        return response.bind(
            lambda reply: parse_response(_pages, reply),
        ).bind(lambda document: _following_page(document, offset, limit))


def _following_page(
    document: LogDocument, offset: int, limit: int
) -> Result[LogPage, PlatformError]:
    """Return the page that was read from ``offset``.

    A log that has lost records without naming a new epoch cannot be followed.
    """
    if not _is_in_order(document, offset_in_epoch(offset), limit):
        wrong = f'the records are not those from offset {offset} on'
        return Failure(PlatformError(PlatformFault.INVALID_RESPONSE, wrong))
    page = document.page()
    if document.epoch > epoch_of(offset):
        return Success(LogPage((), page.first, page.end))
    if page.end < offset:
        lost = f'the log ends at {page.end}, before offset {offset}'
        return Failure(PlatformError(PlatformFault.INVALID_RESPONSE, lost))
    return Success(page)


def _is_in_order(document: LogDocument, start: int, limit: int) -> bool:
    """Return whether a page holds records as they were asked for.

    A reader goes on behind the page, and takes what lies before its first
    record for lost.
    """
    offsets = [record.offset for record in document.records]
    bounds = [0, document.first, document.end, MAX_OFFSET]
    if bounds != sorted(bounds) or not 0 <= document.epoch <= MAX_EPOCH:
        return False
    first = max(start, document.first)
    expected = list(range(first, first + len(offsets)))
    is_within = not offsets or offsets[-1] < document.end
    return offsets == expected and is_within and len(offsets) <= limit
