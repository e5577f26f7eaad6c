"""Translate requests and answers between the wire and the relay's types."""

from collections.abc import Iterable, Mapping
from math import isfinite

from returns.result import Failure, Result, Success

from foxtailhatch.platform import names
from foxtailhatch.relay.http_connection import ResponseHead
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.request import (
    Dispatch,
    EndpointResponse,
    RelayRequest,
    ResponseKind,
    TokenCounts,
)

MS_IN_S = 1000.0
# Header fields are bytes; this maps each to one character.
LATIN = 'latin-1'
MISDIRECTED = 421
FIRST_REDIRECT = 300
FIRST_SUCCESS = 200
# Each of these promises that the request has not run.
PROMISES = frozenset((408, 421, 429, 503))
MAX_URGENCY = 9
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
# The system sets these itself, whatever the caller sent.
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
    )
)
_NUMBER_HEADERS = (names.DEADLINE_MS, names.LAST_EVENT_ID, names.LENGTH_GUESS)
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))

RawHeaders = Iterable[tuple[bytes, bytes]]


class PlatformCodec:
    """The relay's wire as the platform speaks it."""

    id_header = names.REQUEST_ID

    def encode(self, req: RelayRequest, dispatch: Dispatch) -> bytes:
        """Return the bytes of a request to an endpoint."""
        lines = [
            f'{req.method} {req.target} HTTP/1.1'.encode(LATIN),
            b': '.join((b'Host', req.host.encode(LATIN))),
        ]
        lines.extend(b': '.join(pair) for pair in req.headers)
        lines.extend(b': '.join(pair) for pair in _own_headers(req, dispatch))
        if req.body or req.method in _BODY_METHODS:
            lines.append(b'Content-Length: %d' % len(req.body))
        return b'\r\n'.join((*lines, b'', req.body))

    def decode_head(
        self, head: ResponseHead, req: RelayRequest
    ) -> EndpointResponse:
        """Return what the head of an endpoint's answer says."""
        at_fault = head.get(names.FAULTY_ENDPOINT)
        content_type = head.get(b'content-type') or b''
        return EndpointResponse(
            kind=_kind(head, req),
            status=head.status,
            headers=_end_to_end(head.headers),
            failed_address=at_fault.decode(LATIN) if at_fault else None,
            is_event_stream=content_type.startswith(b'text/event-stream'),
        )


def decode_request(
    method: str,
    target: str,
    headers: RawHeaders,
    body: bytes,
) -> Result[RelayRequest, RelayRefusal]:
    """Return the request that a caller sent."""
    pairs = [(name.lower(), found) for name, found in headers]
    first = dict(reversed(pairs))
    request_id = _text(first.get(names.REQUEST_ID))
    if not request_id:
        return Failure(RelayRefusal(RefusalReason.NO_REQUEST_ID))
    patience_ms = _number(first.get(names.DEADLINE_MS))
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
            if patience_ms is None
            else patience_ms / MS_IN_S,
            tokens=_tokens(first),
            last_event_id=None if last_event is None else int(last_event),
            malformed_headers=_unreadable(first),
        )
    )


def _own_headers(
    req: RelayRequest,
    dispatch: Dispatch,
) -> Iterable[tuple[bytes, bytes]]:
    left_ms = max(1, int(dispatch.time_left_s * MS_IN_S))
    yield names.DEADLINE_MS, b'%d' % left_ms
    yield names.EXPECTED_ENDPOINT, dispatch.endpoint.encode(LATIN)
    if dispatch.account is not None:
        yield names.ACCOUNT, dispatch.account.encode(LATIN)
    if req.tokens is not None:
        urgency = min(MAX_URGENCY, max(0, dispatch.urgency))
        yield names.URGENCY, b'%d' % urgency
    if dispatch.chain:
        parts = (
            f'{address}={first}-{end}' for address, first, end in dispatch.chain
        )
        yield names.CHAIN, ','.join(parts).encode(LATIN)
    resume_after = dispatch.resume_after
    if resume_after is None:
        resume_after = req.last_event_id
    if resume_after is not None:
        yield names.LAST_EVENT_ID, b'%d' % resume_after


def _kind(head: ResponseHead, req: RelayRequest) -> ResponseKind:
    if FIRST_SUCCESS <= head.status < FIRST_REDIRECT:
        is_own = _is_proven(head, req)
        return ResponseKind.SUCCESS if is_own else ResponseKind.AMBIGUOUS
    if head.get(names.NOT_RUN) is not None or head.status == MISDIRECTED:
        return ResponseKind.NOT_RUN
    if head.status in PROMISES:
        # Passed on, the status would promise what the endpoint did not say.
        return ResponseKind.AMBIGUOUS
    return ResponseKind.FAILURE


def _is_proven(head: ResponseHead, req: RelayRequest) -> bool:
    """Tell whether a success is the endpoint's own answer to the request."""
    echoed = head.get(names.REQUEST_ID) or b''
    if echoed.decode(LATIN) != req.request_id:
        return False
    has_proof = head.get(names.PROOF) is not None
    return has_proof and head.get(b'content-encoding') is None


def _end_to_end(pairs: RawHeaders) -> tuple[tuple[bytes, bytes], ...]:
    listed = list(pairs)
    named = {
        token.strip().lower()
        for name, found in listed
        if name == b'connection'
        for token in found.split(b',')
    }
    dropped = _CONNECTION_HEADERS | named
    return tuple(pair for pair in listed if pair[0] not in dropped)


def _key(found: bytes | None) -> str | None:
    if found is None or not found.lower().startswith(names.KEY_SCHEME):
        return None
    return found[len(names.KEY_SCHEME) :].strip().decode(LATIN)


def _tokens(first: dict[bytes, bytes]) -> TokenCounts | None:
    prompt, _, most = (first.get(names.TOKEN_COUNTS) or b'').partition(b',')
    in_prompt, max_output = _number(prompt), _number(most)
    if in_prompt is None or max_output is None:
        return None
    guess = _number(first.get(names.LENGTH_GUESS))
    expected = max_output if guess is None else min(guess, max_output)
    return TokenCounts(int(in_prompt), int(max_output), int(expected))


def _number(found: bytes | None) -> float | None:
    """Return a count or a time, which is finite and not below zero."""
    try:
        number = float(found) if found else None
    except ValueError:
        return None
    if number is None or not isfinite(number) or number < 0:
        return None
    return number


def _unreadable(first: Mapping[bytes, bytes]) -> tuple[str, ...]:
    """Return the headers whose numbers cannot be read."""
    counts = first.get(names.TOKEN_COUNTS)
    parts = [] if counts is None else counts.split(b',')
    is_whole = len(parts) in {0, 2} and None not in map(_number, parts)
    found = [] if is_whole else [names.TOKEN_COUNTS]
    found.extend(
        name
        for name in _NUMBER_HEADERS
        if first.get(name) and _number(first[name]) is None
    )
    return tuple(name.decode(LATIN) for name in found)


def _text(found: bytes | None) -> str:
    return '' if found is None else found.decode(LATIN).strip()
