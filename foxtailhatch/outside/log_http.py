"""Client of the log service over HTTP and JSON."""

from typing import Final

from pydantic import BaseModel, ConfigDict, TypeAdapter
from returns.result import Result

from foxtailhatch.core import Address
from foxtailhatch.outside.http_client import (
    RESPONSE_TIMEOUT_S,
    HttpCall,
    HttpClient,
    build_path,
)
from foxtailhatch.outside.json_responses import parse_response
from foxtailhatch.outside.protocols import LogPage, LogRecord, PlatformError


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

    def record(self) -> LogRecord:
        """Return the record of this document."""
        return LogRecord(self.offset, self.time, self.body)


class LogDocument(BaseModel):
    """JSON document of a page of a stream."""

    records: list[RecordDocument]
    first: int
    end: int

    def page(self) -> LogPage:
        """Return the page of this document."""
        records = tuple(record.record() for record in self.records)
        return LogPage(records, self.first, self.end)


class AppendedDocument(BaseModel):
    """JSON document of the response to an append."""

    offset: int


_pages: Final = TypeAdapter(LogDocument)
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
        ).map(lambda appended: appended.offset)

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int,
    ) -> Result[LogPage, PlatformError]:
        """Read from ``offset``, or from the oldest retained record after it."""
        path = build_path('streams', stream)
        call = HttpCall('GET', f'{path}?from={offset}&limit={limit}')
        response = await self._client.send(self._address, call, self._timeout_s)
        return response.bind(
            lambda reply: parse_response(_pages, reply),
        ).map(LogDocument.page)
