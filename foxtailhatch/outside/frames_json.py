"""The frames of an engine's session as lines of JSON.

Each line is one JSON object whose ``kind`` names the frame and whose other
members are the frame's fields.  Lines are validated as they are read.
"""

from collections.abc import Mapping
from typing import Annotated, Any, Final

from pydantic import GetCoreSchemaHandler, TypeAdapter, ValidationError
from pydantic_core import CoreSchema, SchemaSerializer, core_schema
from returns.result import Failure, Result, Success

from foxtailhatch.outside import frames

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


class _ByKind:
    """Choose the frame's class by the member ``kind`` of its line."""

    def __init__(self, kinds: Mapping[str, type]) -> None:
        """Take the class of each kind."""
        self.kinds = kinds

    def __get_pydantic_core_schema__(
        self,
        source: object,
        handler: GetCoreSchemaHandler,
    ) -> CoreSchema:
        """Return a union that the validator can choose from in one look."""
        return core_schema.tagged_union_schema(
            {
                kind: handler.generate_schema(frame)
                for kind, frame in self.kinds.items()
            },
            discriminator='kind',
        )


def _writer(kind: str, frame: type) -> tuple[bytes, SchemaSerializer]:
    """Return the head of a frame's line and the serializer of its fields."""
    adapter: TypeAdapter[Any] = TypeAdapter(frame)
    return b'{"kind":"%b",' % kind.encode(), SchemaSerializer(
        adapter.core_schema,
    )


_up: Final[TypeAdapter[frames.UpFrame]] = TypeAdapter(
    Annotated[Any, _ByKind(_UP_KINDS)],
)
_down: Final[TypeAdapter[frames.DownFrame]] = TypeAdapter(
    Annotated[Any, _ByKind(_DOWN_KINDS)],
)
_WRITERS: Final = {
    frame: _writer(kind, frame)
    for kind, frame in (*_UP_KINDS.items(), *_DOWN_KINDS.items())
}


def encode_frame(frame: frames.UpFrame | frames.DownFrame) -> bytes:
    r"""Return a frame's line, the line feed included.

    >>> encode_frame(frames.Ping(7))
    b'{"kind":"ping","number":7}\n'
    """
    head, serializer = _WRITERS[type(frame)]
    return b'%b%b\n' % (head, serializer.to_json(frame)[1:])


def decode_down(line: bytes) -> Result[frames.DownFrame, str]:
    """Read a line that an engine sent; the failure says what is wrong.

    >>> decode_down(b'{"kind":"pong","number":7}').unwrap()
    Pong(number=7)
    """
    try:
        return Success(_down.validate_json(line, strict=True))
    except ValidationError as exc:
        return Failure(_reason(exc))


def decode_up(line: bytes) -> Result[frames.UpFrame, str]:
    """Read a line that an entry sent; the failure says what is wrong.

    >>> decode_up(b'{"kind":"ping"}').failure()
    'ping.number: Field required'
    """
    try:
        return Success(_up.validate_json(line, strict=True))
    except ValidationError as exc:
        return Failure(_reason(exc))


def _reason(exc: ValidationError) -> str:
    """Write the first fault of a line in one short sentence."""
    first = exc.errors(include_url=False, include_input=False)[0]
    path = '.'.join(str(step) for step in first['loc'])
    return f'{path}: {first["msg"]}'[:MAX_REASON_CHARS]
