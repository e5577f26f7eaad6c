"""Convert requests and responses between wire format and relay types."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from math import isfinite
from urllib.parse import quote, unquote

from returns.result import Failure, Result, Success

from foxtailhatch.fleet.pauses import EndpointNotice
from foxtailhatch.platform import names
from foxtailhatch.relay.http_connection import ResponseHead
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.request import (
    Dispatch,
    EndpointIdentity,
    EndpointResponse,
    RelayRequest,
    ResponseKind,
    TokenCounts,
)

MS_IN_S = 1000.0
# Maps each byte of a header field to one character.
HEADER_ENCODING = 'latin-1'
MISDIRECTED = 421
UNAVAILABLE = 503
FIRST_REDIRECT = 300
FIRST_SUCCESS = 200
# Statuses by which a caller knows that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Statuses with which an endpoint marks a request that it has not run.
MARKED_STATUSES = frozenset((400, 421, 429, 503))
MAX_URGENCY = 9
# Bounds on what is kept of the parts of a prompt.
MAX_PROMPT_PARTS = 64
MAX_PART_ID_LENGTH = 64
# Bound on the name and incarnation of an endpoint in a header.
MAX_IDENTITY_BYTES = 1024
_CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)
# A response without these is none of an endpoint's, so no peer can have them dropped.
_KEPT_HEADERS = frozenset((names.REQUEST_ID, names.RESPONSE_SEAL))
# The router sets these headers itself and drops the caller's values.
_OWN_HEADERS = frozenset(
    (
        b'host',
        b'content-length',
        names.AUTHORIZATION,
        names.ACCOUNT,
        names.EXPECTED_ENDPOINT,
        names.DEADLINE_MS,
        names.CHAIN,
        names.URGENCY,
        names.LAST_EVENT_ID,
        names.FORWARDED_BY,
    )
)
_NUMBER_HEADERS = (
    names.DEADLINE_MS,
    names.LAST_EVENT_ID,
    names.OUTPUT_LENGTH_HINT,
)
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))

RawHeaders = Iterable[tuple[bytes, bytes]]


class PlatformCodec:
    """Encode requests and decode response heads in the platform's format."""

    id_header = names.REQUEST_ID
    event_field = names.WEIGHT_VERSION

    def encode(self, req: RelayRequest, dispatch: Dispatch) -> bytes:
        """Return the head of the HTTP/1.1 request to send to an endpoint."""
        lines = [
            f'{req.method} {req.target} HTTP/1.1'.encode(HEADER_ENCODING),
            b': '.join((b'Host', req.host.encode(HEADER_ENCODING))),
        ]
        lines.extend(b': '.join(pair) for pair in req.headers)
        lines.extend(b': '.join(pair) for pair in _own_headers(req, dispatch))
        if req.body or req.method in _BODY_METHODS:
            lines.append(b'Content-Length: %d' % len(req.body))
        return b'\r\n'.join((*lines, b'', b''))

    def decode_forwarded_head(
        self, head: ResponseHead, req: RelayRequest
    ) -> EndpointResponse:
        """Return the classified head of another entry's response.

        An entry passes no refusal of an endpoint on as it is, so one that it
        sends is its own, and true.
        """
        response = replace(
            self.decode_head(head, req), leaving=_leaving_endpoint(head)
        )
        if head.status in NOT_RUN_STATUSES:
            return replace(response, kind=ResponseKind.NOT_RUN)
        return response

    def leaving_header(self, endpoint: EndpointIdentity) -> tuple[bytes, bytes]:
        """Return the header that tells another entry which endpoint leaves."""
        text = f'{endpoint.incarnation} {quote(endpoint.name, safe="")}'
        return names.LEAVING_ENDPOINT, text.encode()

    def decode_head(
        self, head: ResponseHead, req: RelayRequest
    ) -> EndpointResponse:
        """Return the classified head of an endpoint's response."""
        at_fault = head.get(names.FAILED_ENDPOINT)
        content_type = head.get(b'content-type') or b''
        return EndpointResponse(
            kind=_kind(head, req),
            status=head.status,
            headers=tuple(
                pair
                for pair in _end_to_end(head.headers)
                if pair[0] != names.LEAVING_ENDPOINT
            ),
            failed_address=at_fault.decode(HEADER_ENCODING)
            if at_fault
            else None,
            is_event_stream=_is_event_stream(content_type),
            rate_limit_per_s=_number(head.get(names.RATE_LIMIT)),
            notice=decode_notice(head),
        )


def decode_notice(head: ResponseHead) -> EndpointNotice:
    """Return what an endpoint says of itself in the head of an answer.

    It leaves if the header says ``1``.  A pause comes with status 503; it is the
    longest that is named, in seconds and fractions of them.  A date, zero, or
    what is no number asks for none.
    """
    waits = [
        _number(field)
        for name, field in head.headers
        if name == names.RETRY_AFTER
    ]
    pause_s = max((wait for wait in waits if wait), default=None)
    return EndpointNotice(
        is_leaving=(head.get(names.LEAVING) or b'').strip() == b'1',
        pause_s=pause_s if head.status == UNAVAILABLE else None,
    )


def _leaving_endpoint(head: ResponseHead) -> EndpointIdentity | None:
    """Return the endpoint that an entry says leaves.

    More than one, or a malformed one, is none.
    """
    listed = [
        field for name, field in head.headers if name == names.LEAVING_ENDPOINT
    ]
    if len(listed) != 1 or len(listed[0]) > MAX_IDENTITY_BYTES:
        return None
    born, _, name = _text(listed[0]).partition(' ')
    if not name or not born.isdecimal():
        return None
    return EndpointIdentity(unquote(name), int(born))


def decode_request(
    method: str,
    target: str,
    headers: RawHeaders,
    body: bytes,
) -> Result[RelayRequest, RelayRefusal]:
    """Return the decoded request of a caller, or a refusal without an id."""
    pairs = [(name.lower(), field) for name, field in headers]
    first = dict(reversed(pairs))
    request_id = _text(first.get(names.REQUEST_ID))
    if not request_id:
        return Failure(RelayRefusal(RefusalReason.NO_REQUEST_ID))
    timeout_ms = _number(first.get(names.DEADLINE_MS))
    last_event = _number(first.get(names.LAST_EVENT_ID))
    return Success(
        RelayRequest(
            request_id=request_id,
            method=method,
            target=target,
            host=_text(first.get(b'host')),
            headers=tuple(
                pair
                for pair in _end_to_end(pairs)
                if pair[0] not in _OWN_HEADERS
            ),
            body=body,
            key=_key(first.get(names.AUTHORIZATION)),
            caller_timeout_s=None
            if timeout_ms is None
            else timeout_ms / MS_IN_S,
            tokens=_tokens(first),
            last_event_id=None if last_event is None else int(last_event),
            malformed_headers=_malformed_headers(first),
            prompt_parts=_prompt_parts(first),
            is_forwarded=names.FORWARDED_BY in first,
        )
    )


def _is_event_stream(content_type: bytes) -> bool:
    media_type, _, _ = content_type.partition(b';')
    return media_type.strip().lower() == b'text/event-stream'


def _own_headers(
    req: RelayRequest,
    dispatch: Dispatch,
) -> Iterable[tuple[bytes, bytes]]:
    time_left_ms = max(1, int(dispatch.time_left_s * MS_IN_S))
    yield names.DEADLINE_MS, b'%d' % time_left_ms
    yield from _resume_header(req, dispatch)
    if dispatch.is_forwarded:
        yield names.FORWARDED_BY, b'1'
        if req.key is not None:
            key = req.key.encode(HEADER_ENCODING)
            yield names.AUTHORIZATION, names.KEY_SCHEME.title() + key
        return
    yield names.EXPECTED_ENDPOINT, dispatch.endpoint.encode(HEADER_ENCODING)
    if dispatch.account is not None:
        yield names.ACCOUNT, dispatch.account.encode(HEADER_ENCODING)
    if req.tokens is not None:
        urgency = min(MAX_URGENCY, max(0, dispatch.urgency))
        yield names.URGENCY, b'%d' % urgency
    if dispatch.chain:
        parts = (
            f'{address}={first}-{end}' for address, first, end in dispatch.chain
        )
        yield names.CHAIN, ','.join(parts).encode(HEADER_ENCODING)


def _resume_header(
    req: RelayRequest, dispatch: Dispatch
) -> Iterable[tuple[bytes, bytes]]:
    resume_after = dispatch.resume_after
    if resume_after is None:
        resume_after = req.last_event_id
    if resume_after is not None:
        yield names.LAST_EVENT_ID, b'%d' % resume_after


def _kind(head: ResponseHead, req: RelayRequest) -> ResponseKind:
    echoed = _fields(head, names.REQUEST_ID)
    is_own = _is_own_response(head, req)
    if FIRST_SUCCESS <= head.status < FIRST_REDIRECT:
        return ResponseKind.SUCCESS if is_own else ResponseKind.AMBIGUOUS
    is_of_another = echoed and echoed != [_raw_id(req)]
    if _says_not_run(head) and not is_of_another:
        return ResponseKind.NOT_RUN
    if head.status in NOT_RUN_STATUSES:
        # Forwarded, the status would say that the request has not run, which
        # the endpoint did not confirm.
        return ResponseKind.AMBIGUOUS
    return ResponseKind.FAILURE if is_own else ResponseKind.AMBIGUOUS


def _says_not_run(head: ResponseHead) -> bool:
    if head.status == MISDIRECTED:
        return True
    has_mark = bool((head.get(names.NOT_RUN) or b'').strip())
    return has_mark and head.status in MARKED_STATUSES


def _is_own_response(head: ResponseHead, req: RelayRequest) -> bool:
    """Return whether a response is the endpoint's own one to ``req``.

    It bears the identifier and one seal; a second of either, or of the type of
    the content, is of another origin.
    """
    seals = _fields(head, names.RESPONSE_SEAL)
    if _fields(head, names.REQUEST_ID) != [_raw_id(req)]:
        return False
    if len(seals) != 1 or not seals[0].strip():
        return False
    if len(_fields(head, b'content-type')) > 1:
        return False
    return head.get(b'content-encoding') is None


def _fields(head: ResponseHead, name: bytes) -> list[bytes]:
    return [field for key, field in head.headers if key == name]


def _raw_id(req: RelayRequest) -> bytes:
    return req.request_id.encode(HEADER_ENCODING)


def _end_to_end(pairs: RawHeaders) -> tuple[tuple[bytes, bytes], ...]:
    listed = list(pairs)
    named = {
        token.strip().lower()
        for name, field in listed
        if name == b'connection'
        for token in field.split(b',')
    }
    dropped = _CONNECTION_HEADERS | (named - _KEPT_HEADERS)
    return tuple(pair for pair in listed if pair[0] not in dropped)


def _key(field: bytes | None) -> str | None:
    if field is None or not field.lower().startswith(names.KEY_SCHEME):
        return None
    return field[len(names.KEY_SCHEME) :].strip().decode(HEADER_ENCODING)


def _tokens(first: dict[bytes, bytes]) -> TokenCounts | None:
    prompt, _, max_output_text = (
        first.get(names.TOKEN_COUNTS) or b''
    ).partition(b',')
    prompt_tokens, max_output = _number(prompt), _number(max_output_text)
    if prompt_tokens is None or max_output is None:
        return None
    length_hint = _number(first.get(names.OUTPUT_LENGTH_HINT))
    expected = (
        max_output if length_hint is None else min(length_hint, max_output)
    )
    return TokenCounts(int(prompt_tokens), int(max_output), int(expected))


def _prompt_parts(first: Mapping[bytes, bytes]) -> tuple[str, ...]:
    """Return the identifiers of the parts of a prompt, in order."""
    listed = _text(first.get(names.PROMPT_PARTS)).split(',')
    identifiers = (part.partition(':')[0].strip() for part in listed)
    known = [part[:MAX_PART_ID_LENGTH] for part in identifiers if part]
    return tuple(known[-MAX_PROMPT_PARTS:])


def _number(field: bytes | None) -> float | None:
    """Return a finite, non-negative number, or ``None`` for other text."""
    try:
        number = float(field) if field else None
    except ValueError:
        return None
    if number is None or not isfinite(number) or number < 0:
        return None
    return number


def _malformed_headers(first: Mapping[bytes, bytes]) -> tuple[str, ...]:
    """Return the names of headers with malformed numbers."""
    counts = first.get(names.TOKEN_COUNTS)
    parts = [] if counts is None else counts.split(b',')
    is_valid_pair = len(parts) in {0, 2} and None not in map(_number, parts)
    malformed = [] if is_valid_pair else [names.TOKEN_COUNTS]
    malformed.extend(
        name
        for name in _NUMBER_HEADERS
        if first.get(name) and _number(first[name]) is None
    )
    return tuple(name.decode(HEADER_ENCODING) for name in malformed)


def _text(field: bytes | None) -> str:
    return '' if field is None else field.decode(HEADER_ENCODING).strip()
