"""Sinks of answers: streamed token by token, or sent when complete."""

from foxtailhatch.callers.answer_formats import (
    AnswerFormat,
    AnswerInfo,
    chunk_encoder,
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
    """Send each token as soon as it completes some text.

    The id of an event is the index of its last token.
    """

    def __init__(
        self,
        exchange: Exchange,
        sequence: TokenSequenceCheck,
        decoder: TokenDecoder,
        answer_format: AnswerFormat,
        info: AnswerInfo,
    ) -> None:
        """Write the answer to ``exchange`` in the given format."""
        self._exchange = exchange
        self._sequence = sequence
        self._decoder = decoder
        self._answer_format = answer_format
        self._info = info
        self._encoder = chunk_encoder(answer_format, info)
        self._unsent_tokens: list[int] = []

    def token(self, index: int, token: int) -> None:
        """Check the index of a token and send the text that it completes."""
        self._sequence.check_token(index)
        self._exchange.record_token()
        self._unsent_tokens.append(token)
        text = self._decoder.decode(token)
        if text:
            chunk = self._encoder.chunk(index, text, self._unsent_tokens)
            self._exchange.write(chunk)
            self._unsent_tokens = []

    def finished(self, reason: FinishReason) -> None:
        """Send the remaining tokens, the finish reason and the last event."""
        self._sequence.check_end()
        if self._unsent_tokens:
            last_index = self._sequence.next_index - 1
            text = self._decoder.flush()
            self._exchange.write(
                self._encoder.chunk(last_index, text, self._unsent_tokens)
            )
        final_event = last_chunk(self._answer_format, self._info, '', reason)
        self._exchange.write(final_event)
        self._exchange.finish_stream()

    def failed(self, refusal: Refusal) -> None:
        """Send the refusal in place of the last event."""
        self._sequence.check_end()
        self._exchange.fail(refusal)


class BufferedSink:
    """Collect the tokens and send the answer when it is complete."""

    def __init__(
        self,
        exchange: Exchange,
        sequence: TokenSequenceCheck,
        decoder: TokenDecoder,
        answer_format: AnswerFormat,
        info: AnswerInfo,
    ) -> None:
        """Send the answer to ``exchange`` in the given format."""
        self._exchange = exchange
        self._sequence = sequence
        self._decoder = decoder
        self._answer_format = answer_format
        self._info = info
        self._tokens: list[int] = []

    def token(self, index: int, token: int) -> None:
        """Check the index of a token and store it."""
        self._sequence.check_token(index)
        self._exchange.record_token()
        self._tokens.append(token)

    def finished(self, reason: FinishReason) -> None:
        """Send the complete answer."""
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
        """Send the refusal in place of the answer."""
        self._sequence.check_end()
        self._exchange.fail(refusal)
