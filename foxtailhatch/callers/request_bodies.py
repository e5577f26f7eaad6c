"""Validated models of request bodies."""

from typing import Annotated, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.core import ErrorCode, Refusal
from foxtailhatch.core.json_faults import json_faults

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768
MAX_TOKEN_ID = 2_147_483_647
MAX_NAME_CHARS = 200

TokenId = Annotated[int, Field(ge=0, le=MAX_TOKEN_ID)]
TextOrTokens = str | tuple[TokenId, ...]
BodyModel = TypeVar('BodyModel', bound=BaseModel)


class AnswerBody(BaseModel):
    """Fields that completions and chat completions have in common.

    ``received`` is the part of this answer that the caller already has, as
    text or as token ids; only token ids can hold a part that ends within a
    character.  Other fields of the protocol are ignored.
    """

    model_config = ConfigDict(strict=True, frozen=True)

    model: Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]
    max_tokens: Annotated[int, Field(ge=1, le=MAX_TOKENS_LIMIT)] = (
        DEFAULT_MAX_TOKENS
    )
    stream: bool = False
    received: TextOrTokens = ''
    choices: Annotated[Literal[1], Field(alias='n')] = 1


class CompletionBody(AnswerBody):
    """Request body of ``/v1/completions``."""

    prompt: TextOrTokens


class TextPart(BaseModel):
    """A part of a message; only the type ``text`` is supported."""

    model_config = ConfigDict(strict=True, frozen=True)

    type: Literal['text']
    text: str


class Message(BaseModel):
    """A message of a chat."""

    model_config = ConfigDict(strict=True, frozen=True)

    role: Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]
    content: str | tuple[TextPart, ...]

    def text(self) -> str:
        """Return the content as one string."""
        if isinstance(self.content, str):
            return self.content
        return ''.join(part.text for part in self.content)


class ChatBody(AnswerBody):
    """Request body of ``/v1/chat/completions``."""

    messages: Annotated[tuple[Message, ...], Field(min_length=1)]

    def prompt_text(self) -> str:
        r"""Render the messages into one prompt.

        Each message becomes a line ``role: content``.  The prompt ends with
        ``assistant:`` and no line feed, so that the answer continues it.

        >>> body = ChatBody(
        ...     model='gauge',
        ...     messages=(Message(role='user', content='Level?'),),
        ... )
        >>> body.prompt_text()
        'user: Level?\nassistant:'
        """
        lines = [
            f'{message.role}: {message.text()}\n' for message in self.messages
        ]
        return ''.join((*lines, 'assistant:'))


def parse_body(
    model: type[BodyModel],
    raw: bytes,
) -> Result[BodyModel, Refusal]:
    """Return the body as ``model``, or a refusal that lists every fault."""
    try:
        return Success(model.model_validate_json(raw))
    except ValidationError as exc:
        faults = json_faults(exc, raw)
    message = '; '.join(str(fault) for fault in faults)
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))
