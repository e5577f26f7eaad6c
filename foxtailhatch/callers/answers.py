"""The resources that ask a model for an answer."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success
from twisted.web.http import Request
from twisted.web.server import NOT_DONE_YET

from foxtailhatch.callers.answer_formats import (
    AnswerFormat,
    AnswerInfo,
    ChatFormat,
    CompletionFormat,
)
from foxtailhatch.callers.api_context import ApiContext
from foxtailhatch.callers.base import ApiResource, authenticate_caller
from foxtailhatch.callers.exchange import Exchange
from foxtailhatch.callers.gateway import AnswerSink, GenerateRequest
from foxtailhatch.callers.replies import (
    Reply,
    call_headers,
    read_body,
    refusal_reply,
)
from foxtailhatch.callers.request_bodies import (
    AnswerBody,
    ChatBody,
    CompletionBody,
    TextOrTokens,
    parse_body,
)
from foxtailhatch.callers.sinks import BufferedSink, StreamSink
from foxtailhatch.callers.token_sequence import TokenSequenceCheck
from foxtailhatch.callers.tokens import Tokenizer
from foxtailhatch.core import Refusal


@dataclass(frozen=True, slots=True)
class Asked:
    """A request for an answer as the HTTP request gives it."""

    generate: GenerateRequest
    stream: bool


class CompletionResource(ApiResource):
    """``/v1/completions``."""

    methods = (b'POST',)

    def render_POST(self, req: Request) -> Reply | int:
        """Answer a prompt."""
        body = parse_body(CompletionBody, read_body(req))
        asked = body.bind(
            lambda known: _asked(self.context, req, known, known.prompt),
        )
        return _run(self.context, req, asked, CompletionFormat())


class ChatResource(ApiResource):
    """``/v1/chat/completions``."""

    methods = (b'POST',)

    def render_POST(self, req: Request) -> Reply | int:
        """Answer the messages of a chat."""
        body = parse_body(ChatBody, read_body(req))
        asked = body.bind(
            lambda known: _asked(self.context, req, known, known.prompt_text()),
        )
        return _run(self.context, req, asked, ChatFormat())


def _asked(
    context: ApiContext,
    req: Request,
    body: AnswerBody,
    prompt: TextOrTokens,
) -> Result[Asked, Refusal]:
    return Result.do(
        Asked(
            GenerateRequest(
                request_id=context.new_request_id(),
                caller=caller,
                model=body.model,
                prompt=_tokens(context.tokenizer, prompt),
                max_tokens=body.max_tokens,
                received=_tokens(context.tokenizer, body.received),
                key=headers.key,
                first_try=headers.first_try,
                deadline_s=headers.deadline_s or context.limits.first_token_s,
            ),
            body.stream,
        )
        for caller in authenticate_caller(context, req)
        for headers in call_headers(req)
    )


def _tokens(tokenizer: Tokenizer, given: TextOrTokens) -> tuple[int, ...]:
    if isinstance(given, str):
        return tokenizer.encode(given)
    return given


def _run(
    context: ApiContext,
    req: Request,
    asked: Result[Asked, Refusal],
    answer_format: AnswerFormat,
) -> Reply | int:
    match asked:
        case Failure(refusal):
            return refusal_reply(refusal)
        case Success(known):
            _start(context, req, known, answer_format)
    return NOT_DONE_YET


def _start(
    context: ApiContext,
    req: Request,
    asked: Asked,
    answer_format: AnswerFormat,
) -> None:
    generate = asked.generate
    req.setHeader('X-Request-Id', generate.request_id)
    exchange = Exchange(context, req)
    sink = _sink(context, exchange, asked, answer_format)
    exchange.flow.start(context.gateway.generate(generate, sink))


def _sink(
    context: ApiContext,
    exchange: Exchange,
    asked: Asked,
    answer_format: AnswerFormat,
) -> AnswerSink:
    generate = asked.generate
    info = AnswerInfo(
        generate.request_id,
        generate.model,
        int(context.wall_time()),
        len(generate.prompt),
    )
    check = TokenSequenceCheck(generate.request_id, len(generate.received))
    decoder = context.tokenizer.decoder()
    kind = StreamSink if asked.stream else BufferedSink
    return kind(exchange, check, decoder, answer_format, info)
