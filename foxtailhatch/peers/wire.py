"""Wire format of frames between entries, with size limits.

Each type is a CBOR array with its fields in the order given here.  Received
arrays are validated by pydantic before they are converted to data classes.
"""

import sys
from enum import IntEnum
from typing import Annotated, NamedTuple

from pydantic import Field

from foxtailhatch.core.document_types import MAX_NAME_CHARS, MAX_PORT

PROTOCOL_VERSION = 1
FRAME_MAX_BYTES = 65_536
CONFIGURATION_MAX_BYTES = 4 * 1024 * 1024
HOST_MAX_CHARS = 45
COUNT_MAX = sys.maxsize
ENTRIES_MAX = 512
NOTICES_MAX = 64
ACCOUNTS_MAX = 1024
ENDPOINTS_MAX = 2048
FAILED_REQUESTS_MAX = 64
AGE_MAX_S = 3600
LOAD_MAX_PERCENT = 100_000

Name = Annotated[
    str, Field(strict=True, min_length=1, max_length=MAX_NAME_CHARS)
]
Zone = Annotated[str, Field(strict=True, max_length=MAX_NAME_CHARS)]
Host = Annotated[
    str,
    Field(strict=True, max_length=HOST_MAX_CHARS, pattern='^[0-9a-fA-F.:]+$'),
]
Port = Annotated[int, Field(strict=True, ge=0, le=MAX_PORT)]
Count = Annotated[int, Field(strict=True, ge=0, le=COUNT_MAX)]
LoadPercent = Annotated[int, Field(strict=True, ge=0, le=LOAD_MAX_PERCENT)]
NonNegativeNumber = Annotated[
    float, Field(ge=0, le=COUNT_MAX, allow_inf_nan=False)
]
Age = Annotated[float, Field(ge=0, le=AGE_MAX_S, allow_inf_nan=False)]
ConfigurationBody = Annotated[
    bytes,
    Field(strict=True, max_length=CONFIGURATION_MAX_BYTES),
]


class MessageKind(IntEnum):
    """Numeric message type in the header of a frame."""

    DIGEST = 1
    CONFIGURATION_REQUEST = 2
    CONFIGURATION_PUSH = 3
    USAGE_REPORT = 4
    STREAMS_REPORT = 5


class AddressArray(NamedTuple):
    """A :class:`foxtailhatch.core.Address`."""

    host: Host
    port: Port


class StampArray(NamedTuple):
    """A :class:`foxtailhatch.core.HybridTimestamp`."""

    wall: NonNegativeNumber
    number: Count
    instance: Name


class EntryArray(NamedTuple):
    """An :class:`foxtailhatch.membership.Entry`; ``beat`` is its heartbeat."""

    name: Name
    caller_address: AddressArray
    peer_address: AddressArray
    availability_zone: Zone
    region: Zone
    incarnation: Count
    beat: Count
    state: Annotated[int, Field(strict=True, ge=0, le=2)]
    load_percent: LoadPercent
    configuration_version: Count
    failed_requests: Annotated[
        list[Name], Field(max_length=FAILED_REQUESTS_MAX)
    ] = []


class SuspicionArray(NamedTuple):
    """A :class:`foxtailhatch.membership.Suspicion`."""

    entry: Name
    incarnation: Count


class LeaveNoticeArray(NamedTuple):
    """A :class:`foxtailhatch.membership.LeaveNotice`."""

    endpoint: Name
    age_s: Age


class DigestArray(NamedTuple):
    """A :class:`foxtailhatch.membership.Digest`."""

    sender: EntryArray
    members: Count
    want: Annotated[int, Field(strict=True, ge=0, le=2)]
    entries: Annotated[list[EntryArray], Field(max_length=ENTRIES_MAX)]
    suspicions: Annotated[list[SuspicionArray], Field(max_length=NOTICES_MAX)]
    leaves: Annotated[list[LeaveNoticeArray], Field(max_length=NOTICES_MAX)]


class ConfigurationRequestArray(NamedTuple):
    """A ``ConfigurationRequest``."""

    version: Count


class ConfigurationPushArray(NamedTuple):
    """A ``ConfigurationPush``."""

    version: Count
    through_offset: Annotated[int, Field(strict=True, ge=-1, le=COUNT_MAX)]
    body: ConfigurationBody


class AccountUsageArray(NamedTuple):
    """An ``AccountUsage``."""

    account: Name
    running: Count
    demand: NonNegativeNumber


class UsageReportArray(NamedTuple):
    """A ``UsageReport``."""

    entry: Name
    accounts: Annotated[list[AccountUsageArray], Field(max_length=ACCOUNTS_MAX)]


class EndpointStreamsArray(NamedTuple):
    """An ``EndpointStreams``."""

    endpoint: Name
    streams: Count


class StreamsReportArray(NamedTuple):
    """A ``StreamsReport``."""

    entry: Name
    endpoints: Annotated[
        list[EndpointStreamsArray], Field(max_length=ENDPOINTS_MAX)
    ]
