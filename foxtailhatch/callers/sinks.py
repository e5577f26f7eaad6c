"""Where the daemon delivers an answer: streamed, or gathered whole."""

from foxtailhatch.callers.answer_check import AnswerCheck
from foxtailhatch.callers.exchange import Exchange
from foxtailhatch.callers.gateway import FinishReason
from foxtailhatch.callers.replies import json_reply
from foxtailhatch.callers.shapes import (
    AnswerInfo,
    AnswerShape,
    chunk_writer,
    last_chunk,
    whole_answer,
)
from foxtailhatch.callers.tokens import TokenDecoder, decode_all
from foxtailhatch.core import Refusal


class StreamSink:
    """Send each token as soon as it makes text.

    An event's id is the number of the newest token whose text it ends with.
    """

    def __init__(
        self,
        exchange: Exchange,
        check: AnswerCheck,
        decoder: TokenDecoder,
        shape: AnswerShape,
        info: AnswerInfo,
    ) -> None:
        """Write the answer to ``exchange`` in the given shape."""
        self._exchange = exchange
        self._check = check
        self._decoder = decoder
        self._shape = shape
        self._info = info
        self._writer = chunk_writer(shape, info)
        self._held: list[int] = []

    def token(self, index: int, token: int) -> None:
        """Check and send one token."""
        self._check.token(index)
        self._exchange.token_came()
        self._held.append(token)
        text = self._decoder.decode(token)
        if text:
            chunk = self._writer.chunk(index, text, self._held)
            self._exchange.write(chunk)
            self._held = []

    def finished(self, reason: FinishReason) -> None:
        """Send what is left, the reason and the end mark."""
        self._check.ended()
        if self._held:
            newest = self._check.next_index - 1
            text = self._decoder.flush()
            self._exchange.write(self._writer.chunk(newest, text, self._held))
        ending = last_chunk(self._shape, self._info, '', reason)
        self._exchange.write(ending)
        self._exchange.finish_stream()

    def failed(self, refusal: Refusal) -> None:
        """Send the refusal in place of the end mark."""
        self._check.ended()
        self._exchange.fail(refusal)


class WholeSink:
    """Keep the tokens until the answer is complete."""

    def __init__(
        self,
        exchange: Exchange,
        check: AnswerCheck,
        decoder: TokenDecoder,
        shape: AnswerShape,
        info: AnswerInfo,
    ) -> None:
        """Send the answer to ``exchange`` in the given shape."""
        self._exchange = exchange
        self._check = check
        self._decoder = decoder
        self._shape = shape
        self._info = info
        self._tokens: list[int] = []

    def token(self, index: int, token: int) -> None:
        """Check and keep one token."""
        self._check.token(index)
        self._exchange.token_came()
        self._tokens.append(token)

    def finished(self, reason: FinishReason) -> None:
        """Send the whole answer."""
        self._check.ended()
        text = decode_all(self._decoder, self._tokens)
        document = whole_answer(
            self._shape,
            self._info,
            text,
            self._tokens,
            reason,
        )
        self._exchange.finish_whole(json_reply(document))

    def failed(self, refusal: Refusal) -> None:
        """Send the refusal alone."""
        self._check.ended()
        self._exchange.fail(refusal)
