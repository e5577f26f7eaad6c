"""JSON formats of answers, as in OpenAI's protocol."""

import json
from dataclasses import dataclass
from typing import Protocol

from foxtailhatch.callers.gateway import FinishReason


@dataclass(frozen=True, slots=True)
class AnswerInfo:
    """Fields that all chunks of an answer share.

    ``created`` is the wall time in seconds since the epoch.
    """

    request_id: str
    model: str
    created: int
    prompt_tokens: int


class AnswerFormat(Protocol):
    """JSON format of one kind of answer, as chunks and complete."""

    id_prefix: str
    chunk_object: str
    complete_object: str

    def chunk_choice(self, text: str) -> dict[str, object]:
        """Return the fields with the text in the choice of a chunk."""

    def complete_choice(self, text: str) -> dict[str, object]:
        """Return the fields with the text in a complete answer's choice."""


class ChatFormat:
    """Format of answers of ``/v1/chat/completions``."""

    id_prefix = 'chatcmpl-'
    chunk_object = 'chat.completion.chunk'
    complete_object = 'chat.completion'

    def chunk_choice(self, text: str) -> dict[str, object]:
        """Return the text as a delta."""
        return {'delta': {'role': 'assistant', 'content': text}}

    def complete_choice(self, text: str) -> dict[str, object]:
        """Return the text as a message."""
        return {'message': {'role': 'assistant', 'content': text}}


class CompletionFormat:
    """Format of answers of ``/v1/completions``."""

    id_prefix = 'cmpl-'
    chunk_object = 'text_completion'
    complete_object = 'text_completion'

    def chunk_choice(self, text: str) -> dict[str, object]:
        """Return the text as the field ``text``."""
        return {'text': text}

    def complete_choice(self, text: str) -> dict[str, object]:
        """Return the text as the field ``text``."""
        return {'text': text}


@dataclass(frozen=True, slots=True)
class ChunkEncoder:
    """Encode the server-sent events of one answer.

    Events are made from a template, because only the index, the text and the
    tokens differ between them.
    """

    head: str
    middle: str
    tail: str

    def chunk(self, index: int, text: str, tokens: list[int]) -> bytes:
        """Return the event whose last token has the index ``index``."""
        event = (
            f'id: {index}\ndata: {self.head}{json.dumps(text)}{self.middle}'
            f'{tokens}{self.tail}\n\n'
        )
        return event.encode()


def chunk_encoder(
    answer_format: AnswerFormat, info: AnswerInfo
) -> ChunkEncoder:
    r"""Return the encoder of the chunks of an answer that hold text.

    >>> info = AnswerInfo('7', 'gauge', 0, 1)
    >>> chunk_encoder(CompletionFormat(), info).chunk(0, 'hi', [104, 105])[:27]
    b'id: 0\ndata: {"id":"cmpl-7",'
    """
    text_placeholder, tokens_placeholder = '<text>', '<tokens>'
    choice = {
        'index': 0,
        **answer_format.chunk_choice(text_placeholder),
        'tokens': tokens_placeholder,
        'finish_reason': None,
    }
    template = _dump(
        _envelope(answer_format, info, answer_format.chunk_object, choice)
    )
    head, _, rest = template.rpartition(json.dumps(text_placeholder))
    middle, _, tail = rest.partition(json.dumps(tokens_placeholder))
    return ChunkEncoder(head, middle, tail)


def last_chunk(
    answer_format: AnswerFormat,
    info: AnswerInfo,
    text: str,
    reason: FinishReason,
) -> bytes:
    """Return the event with the finish reason."""
    choice = {
        'index': 0,
        **answer_format.chunk_choice(text),
        'tokens': [],
        'finish_reason': reason.value,
    }
    document = _dump(
        _envelope(answer_format, info, answer_format.chunk_object, choice)
    )
    return f'data: {document}\n\n'.encode()


def complete_answer(
    answer_format: AnswerFormat,
    info: AnswerInfo,
    text: str,
    tokens: list[int],
    reason: FinishReason,
) -> dict[str, object]:
    """Return an answer that is not streamed, as JSON values."""
    choice = {
        'index': 0,
        **answer_format.complete_choice(text),
        'tokens': tokens,
        'finish_reason': reason.value,
    }
    usage = {
        'prompt_tokens': info.prompt_tokens,
        'completion_tokens': len(tokens),
        'total_tokens': info.prompt_tokens + len(tokens),
    }
    return {
        **_envelope(answer_format, info, answer_format.complete_object, choice),
        'usage': usage,
    }


def _envelope(
    answer_format: AnswerFormat,
    info: AnswerInfo,
    object_type: str,
    choice: dict[str, object],
) -> dict[str, object]:
    return {
        'id': f'{answer_format.id_prefix}{info.request_id}',
        'object': object_type,
        'created': info.created,
        'model': info.model,
        'choices': [choice],
    }


def _dump(document: object) -> str:
    return json.dumps(document, separators=(',', ':'))
