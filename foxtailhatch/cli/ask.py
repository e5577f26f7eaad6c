"""The ``ask`` subcommand, which resumes a response at another entry."""

import json
from dataclasses import dataclass
from http.client import HTTPException, HTTPResponse

import click
from returns.result import Failure, Success

from foxtailhatch.cli.client import (
    EntryError,
    EntryRequest,
    Unreachable,
    bearer_header,
    open_request,
    parse_error,
    read_body,
)
from foxtailhatch.cli.entries import discover_entries
from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.cli.options import combine_options, entries_option
from foxtailhatch.cli.sse import (
    Completed,
    Interrupted,
    ReceivedTokens,
    StreamEnd,
    bounded_lines,
)

MAX_ATTEMPTS = 6
HTTP_OK = 200
READ_TIMEOUT_S = 60.0
DEFAULT_MAX_TOKENS = 256


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A completion request and the bearer token to send it with."""

    model: str
    prompt: str
    max_tokens: int
    token: str

    def build_request(self, received: ReceivedTokens) -> EntryRequest:
        """Return the request for the tokens that follow ``received``."""
        body = {
            'model': self.model,
            'prompt': self.prompt,
            'max_tokens': self.max_tokens,
            'stream': True,
            'received': received.tokens,
        }
        raw = json.dumps(body).encode()
        return EntryRequest(
            'POST', '/v1/completions', raw, bearer_header(self.token)
        )


@dataclass(slots=True)
class EntryRotation:
    """A rotation of entry addresses, the next one first; never empty.

    >>> rotation = EntryRotation(['a:1', 'b:1'])
    >>> rotation.next(), rotation.next(), rotation.next()
    ('a:1', 'b:1', 'a:1')
    """

    addresses: list[str]

    def next(self) -> str:
        """Return the first address and move it to the end."""
        address = self.addresses.pop(0)
        self.addresses.append(address)
        return address

    def prefer(self, address: str) -> None:
        """Move or add ``address`` to the front."""
        if address in self.addresses:
            self.addresses.remove(address)
        self.addresses.insert(0, address)


@click.command()
@entries_option
@click.option(
    '--token',
    envvar='FOXTAILHATCH_TOKEN',
    required=True,
    help='The bearer token; preferably set FOXTAILHATCH_TOKEN instead.',
)
@combine_options(
    click.option('--model', required=True, help='The model or adapter to use.'),
    click.option('--max-tokens', default=DEFAULT_MAX_TOKENS, show_default=True),
)
@click.argument('prompt')
def ask(
    known: tuple[str, ...],
    token: str,
    model: str,
    max_tokens: int,
    prompt: str,
) -> None:
    """Stream the completion of PROMPT by a model.

    After a dropped connection, or an error that names another entry, the
    remaining tokens are requested from another entry.

    \b
    Example:
      foxtailhatch ask --entry 10.20.1.11:8080 --model guide 'Strand 12?'
    """
    completion = CompletionRequest(model, prompt, max_tokens, token)
    rotation = EntryRotation(list(discover_entries(known)))
    received = ReceivedTokens()
    for _ in range(MAX_ATTEMPTS):
        address = rotation.next()
        end = _send_completion(address, completion, received)
        if isinstance(end, Completed):
            click.echo()
            return
        _handle_interruption(rotation, address, end)
    exit_with_error(
        'No entry returned a complete response.',
        ExitCode.UNREACHABLE,
    )


def _send_completion(
    address: str, completion: CompletionRequest, received: ReceivedTokens
) -> StreamEnd:
    match open_request(
        address, completion.build_request(received), READ_TIMEOUT_S
    ):
        case Success(HTTPResponse(status=status) as response):
            if status == HTTP_OK:
                return _print_stream(response, received)
            return _read_error(response)
        case Failure(Unreachable(message=message)):
            return Interrupted(message)
    raise AssertionError(address)


def _read_error(response: HTTPResponse) -> StreamEnd:
    try:
        return parse_error(read_body(response))
    except (OSError, HTTPException) as exc:
        return Interrupted(str(exc) or type(exc).__name__)


def _print_stream(
    response: HTTPResponse, received: ReceivedTokens
) -> StreamEnd:
    for item in received.read_stream(bounded_lines(response)):
        if not isinstance(item, str):
            return item
        click.echo(item, nl=False)
    raise AssertionError(response)


def _handle_interruption(
    rotation: EntryRotation, address: str, end: StreamEnd
) -> None:
    match end:
        case EntryError(address=str(other)):
            rotation.prefer(other)
        case EntryError(code=code, message=message, run=run):
            exit_with_error(f'{code}: {message} ({run})', ExitCode.REFUSED)
        case Interrupted(reason):
            click.echo(f'[{address}: {reason}]', err=True)
