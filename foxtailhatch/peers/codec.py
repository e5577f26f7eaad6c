"""Turn messages into frames, and frames into messages or typed errors."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.core import Stamp
from foxtailhatch.core.cbor import read_cbor
from foxtailhatch.membership import Digest
from foxtailhatch.peers import digest_lines, wire
from foxtailhatch.peers.messages import (
    AccountUsage,
    ConfigurationPush,
    ConfigurationRequest,
    EndpointStreams,
    Envelope,
    Message,
    StreamsReport,
    UsageReport,
)


class FrameFault(StrEnum):
    """What is wrong with a frame."""

    TOO_LARGE = 'too_large'
    NOT_CBOR = 'not_cbor'
    OTHER_VERSION = 'other_version'
    BAD_SHAPE = 'bad_shape'
    BAD_SEAL = 'bad_seal'


@dataclass(frozen=True, slots=True)
class _Form:
    """How one kind of message is read: its shape, then its data class."""

    shape: TypeAdapter[Any]
    build: Callable[[Any], Message]


def encode(message: Message, stamp: Stamp) -> bytes:
    """Return the frame of a message."""
    kind, payload = _payload(message)
    head = [wire.PROTOCOL_VERSION, int(kind)]
    stamp_line = [stamp.wall, stamp.count, stamp.instance]
    return cbor2.dumps([*head, stamp_line, payload])


def decode(frame: bytes) -> Result[Envelope, FrameFault]:
    """Read a frame that a peer sent; anything may stand in it."""
    if len(frame) > wire.CONFIGURATION_MAX_BYTES + wire.FRAME_MAX_BYTES:
        return Failure(FrameFault.TOO_LARGE)
    parts = read_cbor(frame)
    if not isinstance(parts, list):
        return Failure(FrameFault.NOT_CBOR)
    match parts:
        case [wire.PROTOCOL_VERSION, int(kind), stamp, payload]:
            return _bounded(len(frame), kind, stamp, payload)
        case [int(_), int(_), _, _]:
            return Failure(FrameFault.OTHER_VERSION)
        case _:
            return Failure(FrameFault.BAD_SHAPE)


def _bounded(
    size: int,
    kind: int,
    stamp: object,
    payload: object,
) -> Result[Envelope, FrameFault]:
    is_push = kind == wire.Kind.CONFIGURATION_PUSH
    if size > wire.FRAME_MAX_BYTES and not is_push:
        return Failure(FrameFault.TOO_LARGE)
    return _validated(kind, stamp, payload)


def _validated(
    kind: int,
    stamp: object,
    payload: object,
) -> Result[Envelope, FrameFault]:
    form = _FORMS.get(kind)
    if form is None:
        return Failure(FrameFault.BAD_SHAPE)
    try:
        envelope = _build(form, stamp, payload)
    except ValidationError:
        return Failure(FrameFault.BAD_SHAPE)
    return Success(envelope)


def _build(form: _Form, stamp: object, payload: object) -> Envelope:
    line = _STAMP.validate_python(stamp)
    sent = Stamp(line.wall, line.number, line.instance)
    return Envelope(sent, form.build(form.shape.validate_python(payload)))


def _payload(message: Message) -> tuple[wire.Kind, list[Any]]:
    match message:
        case Digest():
            return wire.Kind.DIGEST, digest_lines.to_lines(message)
        case ConfigurationRequest(version):
            return wire.Kind.CONFIGURATION_REQUEST, [version]
        case ConfigurationPush(version, offset, body):
            return wire.Kind.CONFIGURATION_PUSH, [version, offset, body]
        case UsageReport(entry, accounts):
            usage = [[one.account, one.running, one.demand] for one in accounts]
            return wire.Kind.USAGE_REPORT, [entry, usage]
        case StreamsReport(entry, endpoints):
            streams = [[one.endpoint, one.streams] for one in endpoints]
            return wire.Kind.STREAMS_REPORT, [entry, streams]


def _usage(line: wire.UsageLine) -> UsageReport:
    accounts = tuple(
        AccountUsage(one.account, one.running, one.demand)
        for one in line.accounts
    )
    return UsageReport(line.entry, accounts)


def _streams(line: wire.StreamsLine) -> StreamsReport:
    endpoints = tuple(
        EndpointStreams(one.endpoint, one.streams) for one in line.endpoints
    )
    return StreamsReport(line.entry, endpoints)


_STAMP = TypeAdapter(wire.StampLine)
_FORMS: Mapping[int, _Form] = {
    wire.Kind.DIGEST: _Form(
        TypeAdapter(wire.DigestLine),
        digest_lines.from_line,
    ),
    wire.Kind.CONFIGURATION_REQUEST: _Form(
        TypeAdapter(wire.AskLine),
        lambda line: ConfigurationRequest(line.version),
    ),
    wire.Kind.CONFIGURATION_PUSH: _Form(
        TypeAdapter(wire.PushLine),
        lambda line: ConfigurationPush(*line),
    ),
    wire.Kind.USAGE_REPORT: _Form(TypeAdapter(wire.UsageLine), _usage),
    wire.Kind.STREAMS_REPORT: _Form(TypeAdapter(wire.StreamsLine), _streams),
}
