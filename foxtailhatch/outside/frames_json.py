"""JSON lines encoding of the frames of an engine session.

Each line is a JSON object with the frame type in ``kind`` and the fields of
the frame as its other members.  Received lines are validated.
"""

from collections.abc import Mapping
from typing import Annotated, Any, Final

from pydantic import GetCoreSchemaHandler, TypeAdapter, ValidationError
from pydantic_core import CoreSchema, SchemaSerializer, core_schema
from returns.result import Failure, Result, Success

from foxtailhatch.outside import frames
from foxtailhatch.outside.first_fault import first_fault_only

MAX_LINE_BYTES: Final = 16_777_216
MAX_REASON_CHARS: Final = 200

_UP_KINDS: Final[Mapping[str, type]] = {
    'open': frames.OpenStage,
    'step': frames.StepStage,
    'cancel': frames.CancelStage,
    'ping': frames.Ping,
}
_DOWN_KINDS: Final[Mapping[str, type]] = {
    'opened': frames.StageOpened,
    'output': frames.StageOutput,
    'refused': frames.StageRefused,
    'pong': frames.Pong,
}


class _TaggedByKind:
    """Select the frame class by the member ``kind`` of a line."""

    def __init__(self, kinds: Mapping[str, type]) -> None:
        """Create the annotation from the frame class of each kind."""
        self.kinds = kinds

    def __get_pydantic_core_schema__(
        self,
        source: object,
        handler: GetCoreSchemaHandler,
    ) -> CoreSchema:
        """Return a tagged union, which the validator resolves by one lookup."""
        return core_schema.tagged_union_schema(
            {
                kind: handler.generate_schema(frame)
                for kind, frame in self.kinds.items()
            },
            discriminator='kind',
        )


def _line_encoder(kind: str, frame: type) -> tuple[bytes, SchemaSerializer]:
    """Return the start of a frame's line and the serializer of its fields."""
    adapter: TypeAdapter[Any] = TypeAdapter(frame)
    return b'{"kind":"%b",' % kind.encode(), SchemaSerializer(
        adapter.core_schema,
    )


_up: Final[TypeAdapter[frames.UpFrame]] = TypeAdapter(
    Annotated[Any, _TaggedByKind(_UP_KINDS)],
)
_down: Final[TypeAdapter[frames.DownFrame]] = first_fault_only(
    TypeAdapter(Annotated[Any, _TaggedByKind(_DOWN_KINDS)]),
)
_LINE_ENCODERS: Final = {
    frame: _line_encoder(kind, frame)
    for kind, frame in (*_UP_KINDS.items(), *_DOWN_KINDS.items())
}


def encode_frame(frame: frames.UpFrame | frames.DownFrame) -> bytes:
    r"""Return the line of a frame with its line feed.

    >>> encode_frame(frames.Ping(7))
    b'{"kind":"ping","number":7}\n'
    """
    head, serializer = _LINE_ENCODERS[type(frame)]
    return b'%b%b\n' % (head, serializer.to_json(frame)[1:])


def decode_down(line: bytes) -> Result[frames.DownFrame, str]:
    """Decode a line from an engine; the failure is an error message.

    >>> decode_down(b'{"kind":"pong","number":7}').unwrap()
    Pong(number=7)
    """
    try:
        return Success(_down.validate_json(line, strict=True))
    except ValidationError as exc:
        return Failure(_error_message(exc))


def decode_up(line: bytes) -> Result[frames.UpFrame, str]:
    """Decode a line from an entry; the failure is an error message.

    >>> decode_up(b'{"kind":"ping"}').failure()
    'ping.number: Field required'
    """
    try:
        return Success(_up.validate_json(line, strict=True))
    except ValidationError as exc:
        return Failure(_error_message(exc))


def _error_message(exc: ValidationError) -> str:
    """Return a short message about the first fault of a line."""
    first = exc.errors(include_url=False, include_input=False)[0]
    path = '.'.join(str(step) for step in first['loc'])
    return f'{path}: {first["msg"]}'[:MAX_REASON_CHARS]
