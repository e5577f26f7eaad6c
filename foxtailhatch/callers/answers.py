"""Resources for completions and chat completions."""

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
class ParsedRequest:
    """A parsed completion request, and whether to stream the answer."""

    generate: GenerateRequest
    stream: bool


class CompletionResource(ApiResource):
    """``/v1/completions``."""

    methods = (b'POST',)

    def render_POST(self, req: Request) -> Reply | int:
        """Start an answer to the prompt."""
        body = parse_body(CompletionBody, read_body(req))
        parsed = body.bind(
            lambda valid: _parse_request(
                self.context, req, valid, valid.prompt
            ),
        )
        return _reply_or_start(self.context, req, parsed, CompletionFormat())


class ChatResource(ApiResource):
    """``/v1/chat/completions``."""

    methods = (b'POST',)

    def render_POST(self, req: Request) -> Reply | int:
        """Start an answer to the chat messages."""
        body = parse_body(ChatBody, read_body(req))
        parsed = body.bind(
            lambda valid: _parse_request(
                self.context, req, valid, valid.prompt_text()
            ),
        )
        return _reply_or_start(self.context, req, parsed, ChatFormat())


def _parse_request(
    context: ApiContext,
    req: Request,
    body: AnswerBody,
    prompt: TextOrTokens,
) -> Result[ParsedRequest, Refusal]:
    return Result.do(
        ParsedRequest(
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


def _tokens(tokenizer: Tokenizer, content: TextOrTokens) -> tuple[int, ...]:
    if isinstance(content, str):
        return tokenizer.encode(content)
    return content


def _reply_or_start(
    context: ApiContext,
    req: Request,
    parsed: Result[ParsedRequest, Refusal],
    answer_format: AnswerFormat,
) -> Reply | int:
    match parsed:
        case Failure(refusal):
            return refusal_reply(refusal)
        case Success(request):
            _start(context, req, request, answer_format)
    return NOT_DONE_YET


def _start(
    context: ApiContext,
    req: Request,
    parsed: ParsedRequest,
    answer_format: AnswerFormat,
) -> None:
    generate = parsed.generate
    req.setHeader('X-Request-Id', generate.request_id)
    exchange = Exchange(context, req)
    sink = _build_sink(context, exchange, parsed, answer_format)
    exchange.flow.start(context.gateway.generate(generate, sink))


def _build_sink(
    context: ApiContext,
    exchange: Exchange,
    parsed: ParsedRequest,
    answer_format: AnswerFormat,
) -> AnswerSink:
    generate = parsed.generate
    info = AnswerInfo(
        generate.request_id,
        generate.model,
        int(context.wall_time()),
        len(generate.prompt),
    )
    sequence = TokenSequenceCheck(generate.request_id, len(generate.received))
    decoder = context.tokenizer.decoder()
    sink_class = StreamSink if parsed.stream else BufferedSink
    return sink_class(exchange, sequence, decoder, answer_format, info)
