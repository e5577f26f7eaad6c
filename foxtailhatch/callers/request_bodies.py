"""The bodies that callers send, as validated models."""

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
    """What both kinds of answers are asked for with.

    ``received`` is what the caller already has of this answer, as text or as
    token ids; token ids are exact even where they make no whole text.  Fields
    of the protocol that are not named here are ignored.
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
    """The body of ``/v1/completions``."""

    prompt: TextOrTokens


class TextPart(BaseModel):
    """One part of a message's content; only text is known."""

    model_config = ConfigDict(strict=True, frozen=True)

    type: Literal['text']
    text: str


class Message(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(strict=True, frozen=True)

    role: Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]
    content: str | tuple[TextPart, ...]

    def text(self) -> str:
        """Return the content as one text."""
        if isinstance(self.content, str):
            return self.content
        return ''.join(part.text for part in self.content)


class ChatBody(AnswerBody):
    """The body of ``/v1/chat/completions``."""

    messages: Annotated[tuple[Message, ...], Field(min_length=1)]

    def prompt_text(self) -> str:
        r"""Render the messages into one prompt.

        Each message becomes a line ``role: content``; the line
        ``assistant:`` without an end follows, for the answer to go on from.

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
    """Return the body as ``model``, or a refusal that names every fault."""
    try:
        return Success(model.model_validate_json(raw))
    except ValidationError as exc:
        faults = json_faults(exc, raw)
    message = '; '.join(str(fault) for fault in faults)
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))
