"""The JSON shapes of answers, as OpenAI's protocol has them."""

import json
from dataclasses import dataclass
from typing import Protocol

from foxtailhatch.callers.gateway import FinishReason


@dataclass(frozen=True, slots=True)
class AnswerInfo:
    """What each chunk of one answer repeats; ``created`` is a wall time."""

    request_id: str
    model: str
    created: int
    prompt_tokens: int


class AnswerFormat(Protocol):
    """How one kind of answer looks, in chunks and whole."""

    id_prefix: str
    chunk_object: str
    complete_object: str

    def chunk_choice(self, text: str) -> dict[str, object]:
        """Return the part of a chunk's choice that holds the text."""

    def complete_choice(self, text: str) -> dict[str, object]:
        """Return the part of the whole answer's choice with the text."""


class ChatFormat:
    """Answers of ``/v1/chat/completions``."""

    id_prefix = 'chatcmpl-'
    chunk_object = 'chat.completion.chunk'
    complete_object = 'chat.completion'

    def chunk_choice(self, text: str) -> dict[str, object]:
        """Return a delta."""
        return {'delta': {'role': 'assistant', 'content': text}}

    def complete_choice(self, text: str) -> dict[str, object]:
        """Return a message."""
        return {'message': {'role': 'assistant', 'content': text}}


class CompletionFormat:
    """Answers of ``/v1/completions``."""

    id_prefix = 'cmpl-'
    chunk_object = 'text_completion'
    complete_object = 'text_completion'

    def chunk_choice(self, text: str) -> dict[str, object]:
        """Return the text itself."""
        return {'text': text}

    def complete_choice(self, text: str) -> dict[str, object]:
        """Return the text itself."""
        return {'text': text}


@dataclass(frozen=True, slots=True)
class ChunkWriter:
    """Write the SSE events of one answer.

    Each event is made from a template, for only its number, its text and its
    tokens change from token to token.
    """

    head: str
    middle: str
    tail: str

    def chunk(self, index: int, text: str, tokens: list[int]) -> bytes:
        """Return the event whose newest token is number ``index``."""
        event = (
            f'id: {index}\ndata: {self.head}{json.dumps(text)}{self.middle}'
            f'{tokens}{self.tail}\n\n'
        )
        return event.encode()


def chunk_writer(answer_format: AnswerFormat, info: AnswerInfo) -> ChunkWriter:
    r"""Return the writer of an answer's chunks that hold text.

    >>> info = AnswerInfo('7', 'gauge', 0, 1)
    >>> chunk_writer(CompletionFormat(), info).chunk(0, 'hi', [104, 105])[:27]
    b'id: 0\ndata: {"id":"cmpl-7",'
    """
    text_mark, tokens_mark = '<text>', '<tokens>'
    choice = {
        'index': 0,
        **answer_format.chunk_choice(text_mark),
        'tokens': tokens_mark,
        'finish_reason': None,
    }
    template = _dump(
        _frame(answer_format, info, answer_format.chunk_object, choice)
    )
    head, _, rest = template.rpartition(json.dumps(text_mark))
    middle, _, tail = rest.partition(json.dumps(tokens_mark))
    return ChunkWriter(head, middle, tail)


def last_chunk(
    answer_format: AnswerFormat,
    info: AnswerInfo,
    text: str,
    reason: FinishReason,
) -> bytes:
    """Return the event that says why the answer is complete."""
    choice = {
        'index': 0,
        **answer_format.chunk_choice(text),
        'tokens': [],
        'finish_reason': reason.value,
    }
    frame = _dump(
        _frame(answer_format, info, answer_format.chunk_object, choice)
    )
    return f'data: {frame}\n\n'.encode()


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
        **_frame(answer_format, info, answer_format.complete_object, choice),
        'usage': usage,
    }


def _frame(
    answer_format: AnswerFormat,
    info: AnswerInfo,
    kind: str,
    choice: dict[str, object],
) -> dict[str, object]:
    return {
        'id': f'{answer_format.id_prefix}{info.request_id}',
        'object': kind,
        'created': info.created,
        'model': info.model,
        'choices': [choice],
    }


def _dump(document: object) -> str:
    return json.dumps(document, separators=(',', ':'))
