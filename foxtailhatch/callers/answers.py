"""The resources that ask a model for an answer."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success
from twisted.web.http import Request
from twisted.web.server import NOT_DONE_YET

from foxtailhatch.callers.answer_check import AnswerCheck
from foxtailhatch.callers.base import FrontResource, caller_of
from foxtailhatch.callers.bodies import (
    AnswerBody,
    ChatBody,
    CompletionBody,
    TextOrTokens,
    parse_body,
)
from foxtailhatch.callers.exchange import Exchange
from foxtailhatch.callers.front import Front
from foxtailhatch.callers.gateway import AnswerSink, GenerateRequest
from foxtailhatch.callers.replies import (
    Reply,
    body_of,
    call_headers,
    refusal_reply,
)
from foxtailhatch.callers.shapes import (
    AnswerInfo,
    AnswerShape,
    ChatShape,
    CompletionShape,
)
from foxtailhatch.callers.sinks import StreamSink, WholeSink
from foxtailhatch.callers.tokens import Tokenizer
from foxtailhatch.core import Refusal


@dataclass(frozen=True, slots=True)
class Asked:
    """A request for an answer as the HTTP request gives it."""

    generate: GenerateRequest
    stream: bool


class CompletionResource(FrontResource):
    """``/v1/completions``."""

    methods = (b'POST',)

    def render_POST(self, req: Request) -> Reply | int:
        """Answer a prompt."""
        body = parse_body(CompletionBody, body_of(req))
        asked = body.bind(
            lambda known: _asked(self.front, req, known, known.prompt),
        )
        return _run(self.front, req, asked, CompletionShape())


class ChatResource(FrontResource):
    """``/v1/chat/completions``."""

    methods = (b'POST',)

    def render_POST(self, req: Request) -> Reply | int:
        """Answer the messages of a chat."""
        body = parse_body(ChatBody, body_of(req))
        asked = body.bind(
            lambda known: _asked(self.front, req, known, known.prompt_text()),
        )
        return _run(self.front, req, asked, ChatShape())


def _asked(
    front: Front,
    req: Request,
    body: AnswerBody,
    prompt: TextOrTokens,
) -> Result[Asked, Refusal]:
    return Result.do(
        Asked(
            GenerateRequest(
                request_id=front.new_request_id(),
                caller=caller,
                model=body.model,
                prompt=_tokens(front.tokenizer, prompt),
                max_tokens=body.max_tokens,
                received=_tokens(front.tokenizer, body.received),
                key=headers.key,
                first_try=headers.first_try,
                deadline_s=headers.deadline_s or front.limits.first_token_s,
            ),
            body.stream,
        )
        for caller in caller_of(front, req)
        for headers in call_headers(req)
    )


def _tokens(tokenizer: Tokenizer, given: TextOrTokens) -> tuple[int, ...]:
    if isinstance(given, str):
        return tokenizer.encode(given)
    return given


def _run(
    front: Front,
    req: Request,
    asked: Result[Asked, Refusal],
    shape: AnswerShape,
) -> Reply | int:
    match asked:
        case Failure(refusal):
            return refusal_reply(refusal)
        case Success(known):
            _start(front, req, known, shape)
    return NOT_DONE_YET


def _start(
    front: Front,
    req: Request,
    asked: Asked,
    shape: AnswerShape,
) -> None:
    generate = asked.generate
    req.setHeader('X-Request-Id', generate.request_id)
    exchange = Exchange(front, req)
    sink = _sink(front, exchange, asked, shape)
    exchange.pacing.start(front.gateway.generate(generate, sink))


def _sink(
    front: Front,
    exchange: Exchange,
    asked: Asked,
    shape: AnswerShape,
) -> AnswerSink:
    generate = asked.generate
    info = AnswerInfo(
        generate.request_id,
        generate.model,
        int(front.wall_time()),
        len(generate.prompt),
    )
    check = AnswerCheck(generate.request_id, len(generate.received))
    decoder = front.tokenizer.decoder()
    kind = StreamSink if asked.stream else WholeSink
    return kind(exchange, check, decoder, shape, info)
