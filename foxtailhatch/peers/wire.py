"""The shapes of frames on the wire, and their bounds.

Each shape is a CBOR array; its fields stand in the order given here.  The
shapes are validated by pydantic before any of them becomes a data class.
"""

import sys
from enum import IntEnum
from typing import Annotated, NamedTuple

from pydantic import Field

from foxtailhatch.core.border import MAX_NAME_CHARS, MAX_PORT

PROTOCOL_VERSION = 1
FRAME_MAX_BYTES = 65_536
CONFIGURATION_MAX_BYTES = 4 * 1024 * 1024
HOST_MAX = 45
COUNT_MAX = sys.maxsize
ENTRIES_MAX = 512
LINES_MAX = 64
ACCOUNTS_MAX = 1024
ENDPOINTS_MAX = 2048
AGE_MAX_S = 3600
LOAD_MAX = 100_000

Name = Annotated[
    str, Field(strict=True, min_length=1, max_length=MAX_NAME_CHARS)
]
Zone = Annotated[str, Field(strict=True, max_length=MAX_NAME_CHARS)]
Host = Annotated[
    str,
    Field(strict=True, max_length=HOST_MAX, pattern='^[0-9a-fA-F.:]+$'),
]
Port = Annotated[int, Field(strict=True, ge=0, le=MAX_PORT)]
Count = Annotated[int, Field(strict=True, ge=0, le=COUNT_MAX)]
Small = Annotated[int, Field(strict=True, ge=0, le=LOAD_MAX)]
Number = Annotated[float, Field(ge=0, le=COUNT_MAX, allow_inf_nan=False)]
Age = Annotated[float, Field(ge=0, le=AGE_MAX_S, allow_inf_nan=False)]
Body = Annotated[
    bytes,
    Field(strict=True, max_length=CONFIGURATION_MAX_BYTES),
]


class Kind(IntEnum):
    """The number that tells the messages apart."""

    DIGEST = 1
    CONFIGURATION_REQUEST = 2
    CONFIGURATION_PUSH = 3
    USAGE_REPORT = 4
    STREAMS_REPORT = 5


class AddressLine(NamedTuple):
    """A :class:`foxtailhatch.core.Address`."""

    host: Host
    port: Port


class StampLine(NamedTuple):
    """A :class:`foxtailhatch.core.Stamp`."""

    wall: Number
    number: Count
    instance: Name


class EntryLine(NamedTuple):
    """An :class:`foxtailhatch.membership.Entry`; the load in percent."""

    name: Name
    caller_address: AddressLine
    peer_address: AddressLine
    availability_zone: Zone
    region: Zone
    incarnation: Count
    beat: Count
    state: Annotated[int, Field(strict=True, ge=0, le=2)]
    load_percent: Small
    configuration_version: Count


class SuspicionLine(NamedTuple):
    """A :class:`foxtailhatch.membership.Suspicion`."""

    entry: Name
    incarnation: Count


class LeaveLine(NamedTuple):
    """A :class:`foxtailhatch.membership.LeaveNotice`."""

    endpoint: Name
    age_s: Age


class DigestLine(NamedTuple):
    """A :class:`foxtailhatch.membership.Digest`."""

    sender: EntryLine
    members: Count
    want: Annotated[int, Field(strict=True, ge=0, le=2)]
    entries: Annotated[list[EntryLine], Field(max_length=ENTRIES_MAX)]
    suspicions: Annotated[list[SuspicionLine], Field(max_length=LINES_MAX)]
    leaves: Annotated[list[LeaveLine], Field(max_length=LINES_MAX)]


class AskLine(NamedTuple):
    """A ``ConfigurationRequest``."""

    version: Count


class PushLine(NamedTuple):
    """A ``ConfigurationPush``."""

    version: Count
    through_offset: Annotated[int, Field(strict=True, ge=-1, le=COUNT_MAX)]
    body: Body


class AccountLine(NamedTuple):
    """An ``AccountUsage``."""

    account: Name
    running: Count
    demand: Number


class UsageLine(NamedTuple):
    """A ``UsageReport``."""

    entry: Name
    accounts: Annotated[list[AccountLine], Field(max_length=ACCOUNTS_MAX)]


class EndpointLine(NamedTuple):
    """An ``EndpointStreams``."""

    endpoint: Name
    streams: Count


class StreamsLine(NamedTuple):
    """A ``StreamsReport``."""

    entry: Name
    endpoints: Annotated[list[EndpointLine], Field(max_length=ENDPOINTS_MAX)]
