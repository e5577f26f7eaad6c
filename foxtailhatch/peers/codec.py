"""Encode messages as CBOR frames, and decode and validate frames."""

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
from foxtailhatch.peers import digest_codec, wire
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
    """Reason why a frame is rejected."""

    TOO_LARGE = 'too_large'
    NOT_CBOR = 'not_cbor'
    OTHER_VERSION = 'other_version'
    BAD_SHAPE = 'bad_shape'
    BAD_SEAL = 'bad_seal'


@dataclass(frozen=True, slots=True)
class _MessageDecoder:
    """Schema of one kind of message, and the function that builds it."""

    schema: TypeAdapter[Any]
    build: Callable[[Any], Message]


def encode(message: Message, stamp: Stamp) -> bytes:
    """Return the frame of a message, stamped with ``stamp``."""
    kind, payload = _encode_payload(message)
    head = [wire.PROTOCOL_VERSION, int(kind)]
    stamp_array = [stamp.wall, stamp.count, stamp.instance]
    return cbor2.dumps([*head, stamp_array, payload])


def decode(frame: bytes) -> Result[Envelope, FrameFault]:
    """Decode an untrusted frame; return a fault if it is invalid."""
    if len(frame) > wire.CONFIGURATION_MAX_BYTES + wire.FRAME_MAX_BYTES:
        return Failure(FrameFault.TOO_LARGE)
    parts = read_cbor(frame)
    if not isinstance(parts, list):
        return Failure(FrameFault.NOT_CBOR)
    match parts:
        case [wire.PROTOCOL_VERSION, int(kind), stamp, payload]:
            return _decode_bounded(len(frame), kind, stamp, payload)
        case [int(_), int(_), _, _]:
            return Failure(FrameFault.OTHER_VERSION)
        case _:
            return Failure(FrameFault.BAD_SHAPE)


def _decode_bounded(
    size: int,
    kind: int,
    stamp: object,
    payload: object,
) -> Result[Envelope, FrameFault]:
    is_push = kind == wire.MessageKind.CONFIGURATION_PUSH
    if size > wire.FRAME_MAX_BYTES and not is_push:
        return Failure(FrameFault.TOO_LARGE)
    return _decode_payload(kind, stamp, payload)


def _decode_payload(
    kind: int,
    stamp: object,
    payload: object,
) -> Result[Envelope, FrameFault]:
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return Failure(FrameFault.BAD_SHAPE)
    try:
        envelope = _build_envelope(decoder, stamp, payload)
    except ValidationError:
        return Failure(FrameFault.BAD_SHAPE)
    return Success(envelope)


def _build_envelope(
    decoder: _MessageDecoder, stamp: object, payload: object
) -> Envelope:
    array = _STAMP.validate_python(stamp)
    sent = Stamp(array.wall, array.number, array.instance)
    return Envelope(
        sent, decoder.build(decoder.schema.validate_python(payload))
    )


def _encode_payload(message: Message) -> tuple[wire.MessageKind, list[Any]]:
    match message:
        case Digest():
            return wire.MessageKind.DIGEST, digest_codec.encode_digest(message)
        case ConfigurationRequest(version):
            return wire.MessageKind.CONFIGURATION_REQUEST, [version]
        case ConfigurationPush(version, offset, body):
            return wire.MessageKind.CONFIGURATION_PUSH, [version, offset, body]
        case UsageReport(entry, accounts):
            usage = [
                [item.account, item.running, item.demand] for item in accounts
            ]
            return wire.MessageKind.USAGE_REPORT, [entry, usage]
        case StreamsReport(entry, endpoints):
            streams = [[item.endpoint, item.streams] for item in endpoints]
            return wire.MessageKind.STREAMS_REPORT, [entry, streams]


def _decode_usage_report(array: wire.UsageReportArray) -> UsageReport:
    accounts = tuple(
        AccountUsage(item.account, item.running, item.demand)
        for item in array.accounts
    )
    return UsageReport(array.entry, accounts)


def _decode_streams_report(array: wire.StreamsReportArray) -> StreamsReport:
    endpoints = tuple(
        EndpointStreams(item.endpoint, item.streams) for item in array.endpoints
    )
    return StreamsReport(array.entry, endpoints)


_STAMP = TypeAdapter(wire.StampArray)
_DECODERS: Mapping[int, _MessageDecoder] = {
    wire.MessageKind.DIGEST: _MessageDecoder(
        TypeAdapter(wire.DigestArray),
        digest_codec.decode_digest,
    ),
    wire.MessageKind.CONFIGURATION_REQUEST: _MessageDecoder(
        TypeAdapter(wire.ConfigurationRequestArray),
        lambda array: ConfigurationRequest(array.version),
    ),
    wire.MessageKind.CONFIGURATION_PUSH: _MessageDecoder(
        TypeAdapter(wire.ConfigurationPushArray),
        lambda array: ConfigurationPush(*array),
    ),
    wire.MessageKind.USAGE_REPORT: _MessageDecoder(
        TypeAdapter(wire.UsageReportArray), _decode_usage_report
    ),
    wire.MessageKind.STREAMS_REPORT: _MessageDecoder(
        TypeAdapter(wire.StreamsReportArray), _decode_streams_report
    ),
}
