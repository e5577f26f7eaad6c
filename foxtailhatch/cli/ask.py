"""The subcommand that asks a model, going on elsewhere when cut off."""

import json
from dataclasses import dataclass
from http.client import HTTPResponse

import click
from returns.result import Failure, Success

from foxtailhatch.cli.client import (
    Call,
    EntryError,
    Unreachable,
    bearer,
    error_in,
    open_call,
)
from foxtailhatch.cli.entries import all_entries
from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.cli.options import entries_option, together
from foxtailhatch.cli.sse import Dropped, Ending, Received, Whole

TRIES = 6
OK = 200
READ_TIMEOUT_S = 60.0
MAX_TOKENS = 256


@dataclass(frozen=True, slots=True)
class Question:
    """What is asked, and with which token."""

    model: str
    prompt: str
    max_tokens: int
    token: str

    def call(self, received: Received) -> Call:
        """Return the call that asks for what follows ``received``."""
        body = {
            'model': self.model,
            'prompt': self.prompt,
            'max_tokens': self.max_tokens,
            'stream': True,
            'received': received.tokens,
        }
        raw = json.dumps(body).encode()
        return Call('POST', '/v1/completions', raw, bearer(self.token))


@dataclass(slots=True)
class Route:
    """The entries to ask, the next one first; there is always one.

    >>> route = Route(['a:1', 'b:1'])
    >>> route.next(), route.next(), route.next()
    ('a:1', 'b:1', 'a:1')
    """

    addresses: list[str]

    def next(self) -> str:
        """Return the next address, which becomes the last."""
        address = self.addresses.pop(0)
        self.addresses.append(address)
        return address

    def prefer(self, address: str) -> None:
        """Put ``address`` first."""
        if address in self.addresses:
            self.addresses.remove(address)
        self.addresses.insert(0, address)


@click.command()
@entries_option
@click.option(
    '--token',
    envvar='FOXTAILHATCH_TOKEN',
    required=True,
    help='The bearer token; better given by FOXTAILHATCH_TOKEN.',
)
@together(
    click.option('--model', required=True, help='The model or adapter to ask.'),
    click.option('--max-tokens', default=MAX_TOKENS, show_default=True),
)
@click.argument('prompt')
def ask(
    known: tuple[str, ...],
    token: str,
    model: str,
    max_tokens: int,
    prompt: str,
) -> None:
    """Stream the answer of a model to PROMPT.

    When the connection drops, or an error names another entry, the rest of
    the answer is asked for there.

    \b
    Example:
      foxtailhatch ask --entry 10.20.1.11:8080 --model guide 'Strand 12?'
    """
    question = Question(model, prompt, max_tokens, token)
    route = Route(list(all_entries(known)))
    received = Received()
    for _ in range(TRIES):
        address = route.next()
        ending = _ask_once(address, question, received)
        if isinstance(ending, Whole):
            click.echo()
            return
        _go_on(route, address, ending)
    leave('The answer was cut off too often.', Exit.UNREACHABLE)


def _ask_once(address: str, question: Question, received: Received) -> Ending:
    match open_call(address, question.call(received), READ_TIMEOUT_S):
        case Success(HTTPResponse(status=status) as response):
            if status == OK:
                return _stream(response, received)
            return error_in(response.read())
        case Failure(Unreachable(message=message)):
            return Dropped(message)
    raise AssertionError(address)


def _stream(response: HTTPResponse, received: Received) -> Ending:
    for part in received.follow(response):
        if not isinstance(part, str):
            return part
        click.echo(part, nl=False)
    raise AssertionError(response)


def _go_on(route: Route, address: str, ending: Ending) -> None:
    match ending:
        case EntryError(address=str(other)):
            route.prefer(other)
        case EntryError(code=code, message=message, run=run):
            leave(f'{code}: {message} ({run})', Exit.REFUSED)
        case Dropped(reason):
            click.echo(f'[{address}: {reason}]', err=True)
