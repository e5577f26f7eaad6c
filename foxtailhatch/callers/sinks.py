"""Where the daemon delivers an answer: streamed, or gathered whole."""

from foxtailhatch.callers.answer_formats import (
    AnswerFormat,
    AnswerInfo,
    chunk_writer,
    complete_answer,
    last_chunk,
)
from foxtailhatch.callers.exchange import Exchange
from foxtailhatch.callers.gateway import FinishReason
from foxtailhatch.callers.replies import json_reply
from foxtailhatch.callers.token_sequence import TokenSequenceCheck
from foxtailhatch.callers.tokens import TokenDecoder, decode_all
from foxtailhatch.core import Refusal


class StreamSink:
    """Send each token as soon as it makes text.

    An event's id is the number of the newest token whose text it ends with.
    """

    def __init__(
        self,
        exchange: Exchange,
        sequence: TokenSequenceCheck,
        decoder: TokenDecoder,
        answer_format: AnswerFormat,
        info: AnswerInfo,
    ) -> None:
        """Write the answer to ``exchange`` in the given shape."""
        self._exchange = exchange
        self._sequence = sequence
        self._decoder = decoder
        self._answer_format = answer_format
        self._info = info
        self._writer = chunk_writer(answer_format, info)
        self._held: list[int] = []

    def token(self, index: int, token: int) -> None:
        """Check and send one token."""
        self._sequence.check_token(index)
        self._exchange.record_token()
        self._held.append(token)
        text = self._decoder.decode(token)
        if text:
            chunk = self._writer.chunk(index, text, self._held)
            self._exchange.write(chunk)
            self._held = []

    def finished(self, reason: FinishReason) -> None:
        """Send what is left, the reason and the end mark."""
        self._sequence.check_end()
        if self._held:
            newest = self._sequence.next_index - 1
            text = self._decoder.flush()
            self._exchange.write(self._writer.chunk(newest, text, self._held))
        ending = last_chunk(self._answer_format, self._info, '', reason)
        self._exchange.write(ending)
        self._exchange.finish_stream()

    def failed(self, refusal: Refusal) -> None:
        """Send the refusal in place of the end mark."""
        self._sequence.check_end()
        self._exchange.fail(refusal)


class BufferedSink:
    """Keep the tokens until the answer is complete."""

    def __init__(
        self,
        exchange: Exchange,
        sequence: TokenSequenceCheck,
        decoder: TokenDecoder,
        answer_format: AnswerFormat,
        info: AnswerInfo,
    ) -> None:
        """Send the answer to ``exchange`` in the given shape."""
        self._exchange = exchange
        self._sequence = sequence
        self._decoder = decoder
        self._answer_format = answer_format
        self._info = info
        self._tokens: list[int] = []

    def token(self, index: int, token: int) -> None:
        """Check and keep one token."""
        self._sequence.check_token(index)
        self._exchange.record_token()
        self._tokens.append(token)

    def finished(self, reason: FinishReason) -> None:
        """Send the whole answer."""
        self._sequence.check_end()
        text = decode_all(self._decoder, self._tokens)
        document = complete_answer(
            self._answer_format,
            self._info,
            text,
            self._tokens,
            reason,
        )
        self._exchange.finish_with_reply(json_reply(document))

    def failed(self, refusal: Refusal) -> None:
        """Send the refusal alone."""
        self._sequence.check_end()
        self._exchange.fail(refusal)
