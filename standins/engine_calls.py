"""HTTP calls on engine streams: KV cache transfer and single frames."""

from typing import Final

from pydantic import TypeAdapter
from returns.result import Failure, Success

from foxtailhatch.outside import OpenStage, StepStage
from foxtailhatch.outside.frames_json import decode_up, encode_frame
from standins.engine_streams import EngineStreams, StageStream
from standins.http_app import CONFLICT, NOT_FOUND, OK, Call, Reply, reply

_stream_adapter: Final = TypeAdapter(StageStream)


def answer_stream_call(
    streams: EngineStreams,
    call: Call,
    now: float,
) -> Reply:
    """Dispatch a call on one stream."""
    match (call.method, call.path):
        case ('GET', ('kv', name)):
            return _export(streams, name)
        case ('PUT', ('kv', name)):
            return _import(streams, name, call.body, now)
        case ('POST', ('frames',)):
            return _frame(streams, call.body, now)
        case _:
            return reply({'error': 'unknown path'}, NOT_FOUND)


def _export(streams: EngineStreams, name: str) -> Reply:
    """Return a stream with its KV cache."""
    stream = streams.streams.get(name)
    if stream is None:
        return reply({'error': f'no stream {name}'}, NOT_FOUND)
    return reply(stream)


def _import(
    streams: EngineStreams,
    name: str,
    body: bytes,
    now: float,
) -> Reply:
    """Import a stream and the KV cache that another engine exported."""
    stream = _stream_adapter.validate_json(body)
    if len(stream.cache.rows) != len(stream.opened.layers):
        return reply(
            {'error': 'KV row count differs from layer count'}, CONFLICT
        )
    stream.used_at = now
    streams.streams[name] = stream
    return reply({'positions': len(stream.cache)})


def _frame(streams: EngineStreams, line: bytes, now: float) -> Reply:
    """Process one frame without a session, as a baseline for benchmarks."""
    match decode_up(line):
        case Success(OpenStage() as opening):
            return Reply(OK, encode_frame(streams.open(opening, '', now)))
        case Success(StepStage() as step):
            return Reply(OK, encode_frame(streams.step(step, now)))
        case Failure(reason):
            raise ValueError(reason)
        case _:
            raise ValueError('expected an open or step frame')
