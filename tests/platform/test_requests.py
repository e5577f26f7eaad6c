import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.platform.requests import (
    PlatformCodec,
    decode_notice,
    decode_request,
)
from foxtailhatch.relay.http_connection import ResponseHead
from foxtailhatch.relay.request import (
    Dispatch,
    EndpointIdentity,
    ResponseKind,
)

HEADERS = (
    (b'Host', b'host.example'),
    (b'Foxtailhatch-Request-Id', b'id-1'),
    (b'Foxtailhatch-Deadline-Ms', b'1500'),
    (b'Authorization', b'Bearer secret'),
    (b'Foxtailhatch-Tenant', b'forged'),
    (b'Foxtailhatch-Model', b'm'),
    (b'Foxtailhatch-Token-Usage', b'760,140'),
    (b'Foxtailhatch-Length-Hint', b'60'),
    (b'Foxtailhatch-Prefix-Hash', b'5c:40,91:720'),
    (b'X-Own', b'kept'),
    (b'Connection', b'keep-alive, X-Hop'),
    (b'X-Hop', b'dropped'),
)


def request(headers=HEADERS, method='POST', body=b'body'):
    return decode_request(method, '/a/b?c=d', headers, body).unwrap()


def encoded(req=None, **kwargs):
    defaults = {
        'endpoint': 'i-1',
        'address': '10.0.0.1:80',
        'account': 'crew',
        'urgency': 1,
        'time_left_s': 1.2,
    }
    req = req or request()
    raw = PlatformCodec().encode(req, Dispatch(**defaults | kwargs)) + req.body
    head, _, body = raw.partition(b'\r\n\r\n')
    lines = head.split(b'\r\n')
    fields = dict(line.split(b': ', 1) for line in lines[1:])
    return lines[0], fields, body


def test_method_path_and_body_are_forwarded_unchanged():
    first, fields, body = encoded()
    assert first == b'POST /a/b?c=d HTTP/1.1'
    assert body == b'body'
    assert fields[b'Content-Length'] == b'4'


def test_key_is_not_forwarded_and_forged_account_is_replaced():
    _, fields, _ = encoded()
    assert b'authorization' not in fields
    assert fields[b'foxtailhatch-tenant'] == b'crew'


def test_public_request_carries_no_account():
    assert b'foxtailhatch-tenant' not in encoded(account=None)[1]


def test_hop_by_hop_headers_are_not_forwarded():
    _, fields, _ = encoded()
    assert b'connection' not in fields
    assert b'x-hop' not in fields
    assert fields[b'x-own'] == b'kept'


def test_headers_about_the_prompt_are_forwarded_unchanged():
    _, fields, _ = encoded()
    assert fields[b'foxtailhatch-token-usage'] == b'760,140'
    assert fields[b'foxtailhatch-prefix-hash'] == b'5c:40,91:720'


def test_remaining_time_is_sent_in_milliseconds():
    assert encoded()[1][b'foxtailhatch-deadline-ms'] == b'1200'
    assert encoded(time_left_s=0)[1][b'foxtailhatch-deadline-ms'] == b'1'


def test_chain_header_has_address_and_layers_of_each_stage():
    chain = (('10.0.0.1:80', 0, 20), ('10.0.0.2:80', 20, 80))
    _, fields, _ = encoded(chain=chain)
    assert fields[b'foxtailhatch-hops'] == (
        b'10.0.0.1:80=0-20,10.0.0.2:80=20-80'
    )


def test_resumed_request_sends_the_last_forwarded_event_id():
    headers = (*HEADERS, (b'Last-Event-Id', b'3'))
    req = request(headers)
    assert encoded(req)[1][b'last-event-id'] == b'3'
    assert encoded(req, resume_after=9)[1][b'last-event-id'] == b'9'


def test_expected_output_is_the_length_hint_up_to_the_maximum():
    assert request().tokens.expected == 820
    over = tuple(
        pair for pair in HEADERS if pair[0] != b'Foxtailhatch-Length-Hint'
    )
    assert request(over).tokens.expected == 900


def test_request_without_an_identifier_is_refused():
    result = decode_request('GET', '/', (HEADERS[0],), b'')
    assert result.failure().status == 400


def answer(status, *headers):
    pairs = ((b'foxtailhatch-request-id', b'id-1'), *headers)
    return PlatformCodec().decode_head(ResponseHead(status, pairs), request())


RESPONSE_SEAL = (b'foxtailhatch-response-seal', b'x')
NOT_RUN = (b'foxtailhatch-not-executed', b'1')


@pytest.mark.parametrize(
    ('status', 'headers', 'kind'),
    [
        (200, (RESPONSE_SEAL,), ResponseKind.SUCCESS),
        (200, (), ResponseKind.AMBIGUOUS),
        (
            200,
            (RESPONSE_SEAL, (b'content-encoding', b'gzip')),
            ResponseKind.AMBIGUOUS,
        ),
        (503, (NOT_RUN,), ResponseKind.NOT_RUN),
        (503, (RESPONSE_SEAL,), ResponseKind.AMBIGUOUS),
        (429, (), ResponseKind.AMBIGUOUS),
        (421, (), ResponseKind.NOT_RUN),
        (500, (RESPONSE_SEAL,), ResponseKind.FAILURE),
        (504, (RESPONSE_SEAL,), ResponseKind.FAILURE),
        (400, (NOT_RUN,), ResponseKind.NOT_RUN),
        # Guards against a head of another origin that is passed on as the
        # answer, for instance one that denies a proper request.
        (404, (), ResponseKind.AMBIGUOUS),
        (500, (), ResponseKind.AMBIGUOUS),
        (302, (), ResponseKind.AMBIGUOUS),
        (200, (RESPONSE_SEAL, RESPONSE_SEAL), ResponseKind.AMBIGUOUS),
    ],
)
def test_responses_are_classified(status, headers, kind):
    assert answer(status, *headers).kind is kind


def test_success_with_another_request_id_is_ambiguous():
    head = ResponseHead(
        200, ((b'foxtailhatch-request-id', b'id-2'), RESPONSE_SEAL)
    )
    response = PlatformCodec().decode_head(head, request())
    assert response.kind is ResponseKind.AMBIGUOUS


def test_failed_endpoint_is_decoded():
    response = answer(503, NOT_RUN, (b'at-server', b'10.0.0.7:80'))
    assert response.failed_address == '10.0.0.7:80'


@given(st.lists(st.tuples(st.binary(max_size=20), st.binary(max_size=20))))
def test_arbitrary_headers_never_raise(headers):
    decode_request('GET', '/', headers, b'')


@pytest.mark.parametrize(
    'header_value', [b'many', b'nan', b'inf', b'-3', b'1e999']
)
@pytest.mark.parametrize(
    'name',
    [
        b'foxtailhatch-deadline-ms',
        b'last-event-id',
        b'foxtailhatch-length-hint',
    ],
)
def test_malformed_number_header_is_named_and_treated_as_absent(
    name, header_value
):
    others = [pair for pair in HEADERS if pair[0].lower() != name]
    req = request((*others, (name, header_value)))
    assert req.malformed_headers == (name.decode(),)
    assert req.last_event_id is None


@pytest.mark.parametrize(
    'header_value', [b'760', b'760,x', b'1,2,3', b'', b'nan,1']
)
def test_malformed_token_counts_are_named(header_value):
    name = b'foxtailhatch-token-usage'
    others = [pair for pair in HEADERS if pair[0].lower() != name]
    req = request((*others, (name, header_value)))
    assert req.malformed_headers == (name.decode(),)
    assert req.tokens is None


def test_valid_headers_are_not_named():
    assert request().malformed_headers == ()


def test_identifiers_of_the_prompt_parts_are_decoded_in_order():
    assert request().prompt_parts == ('5c', '91')


def test_unreadable_prompt_parts_are_bounded():
    parts = b','.join(b'%064x:1' % number for number in range(100))
    fields = [pair for pair in HEADERS if b'Prefix' not in pair[0]]
    many = request([*fields, (b'Foxtailhatch-Prefix-Hash', parts)])
    assert len(many.prompt_parts) == 64
    assert many.prompt_parts[-1] == f'{99:064x}'
    empty = request([*fields, (b'Foxtailhatch-Prefix-Hash', b',:4, ,')])
    assert empty.prompt_parts == ()


@pytest.mark.parametrize(
    ('field', 'expected'),
    [(b'2.5', 2.5), (b'0', 0), (b'x', None), (None, None)],
)
def test_limit_that_an_endpoint_names_is_decoded(field, expected):
    headers = () if field is None else ((b'server-limit', field),)
    response = PlatformCodec().decode_head(
        ResponseHead(503, headers), request()
    )
    assert response.rate_limit_per_s == expected


def test_forwarded_request_keeps_key_and_body_and_names_no_endpoint():
    first, fields, body = encoded(is_forwarded=True, resume_after=7)
    assert (first, body) == (b'POST /a/b?c=d HTTP/1.1', b'body')
    assert fields[b'authorization'] == b'Bearer secret'
    assert fields[b'last-event-id'] == b'7'
    assert b'foxtailhatch-tenant' not in fields
    assert b'foxtailhatch-expect-instance' not in fields


def test_forwarded_request_is_recognized_and_its_mark_goes_to_no_endpoint():
    _, fields, body = encoded(is_forwarded=True)
    received = request(tuple(fields.items()), body=body)
    assert received.is_forwarded
    assert received.key == 'secret'
    assert b'foxtailhatch-forwarded-by' not in encoded(received)[1]


# Guards against a head of another origin that an older entry has passed on.
@pytest.mark.parametrize('status', [404, 502, 504])
def test_failure_of_an_entry_without_a_seal_is_ambiguous(status):
    head = ResponseHead(status, ())
    decoded = PlatformCodec().decode_forwarded_head(head, request())
    assert decoded.kind is ResponseKind.AMBIGUOUS


def test_failure_of_an_endpoint_may_come_through_an_entry():
    head = ResponseHead(
        500, ((b'foxtailhatch-request-id', b'id-1'), RESPONSE_SEAL)
    )
    decoded = PlatformCodec().decode_forwarded_head(head, request())
    assert decoded.kind is ResponseKind.FAILURE


# Guards against "not run" by a head that is not known to be about the request.
@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        (503, (NOT_RUN, (b'foxtailhatch-request-id', b'id-2'))),
        (421, ((b'foxtailhatch-request-id', b'id-2'),)),
        (503, ((b'foxtailhatch-not-executed', b''),)),
        (500, (NOT_RUN,)),
    ],
)
def test_doubtful_head_does_not_say_that_the_request_has_not_run(
    status, headers
):
    assert answer(status, *headers).kind is ResponseKind.AMBIGUOUS


@pytest.mark.parametrize(
    'headers',
    [
        ((b'foxtailhatch-response-seal', b''),),
        (RESPONSE_SEAL, (b'content-type', b'a/b'), (b'content-type', b'c/d')),
    ],
)
def test_doubtful_head_is_no_success(headers):
    assert answer(200, *headers).kind is ResponseKind.AMBIGUOUS


def test_seal_cannot_be_dropped_by_the_endpoint():
    named = (b'connection', b'foxtailhatch-response-seal')
    response = answer(200, RESPONSE_SEAL, named)
    assert RESPONSE_SEAL in response.headers


# Guards against a refusal of another entry that is taken for an unknown outcome.
@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_refusal_of_an_entry_says_that_the_request_has_not_run(status):
    head = ResponseHead(status, ())
    decoded = PlatformCodec().decode_forwarded_head(head, request())
    assert decoded.kind is ResponseKind.NOT_RUN


def notice(status, *pairs):
    return decode_notice(ResponseHead(status, pairs))


@pytest.mark.parametrize(
    ('fields', 'pause_s'),
    [
        ([b'2'], 2),
        ([b'0.25'], 0.25),
        ([b' 1.5 '], 1.5),
        ([b'0.2', b'3', b'1'], 3),
        ([b'soon', b'3'], 3),
        ([b'0'], None),
        ([b'-1'], None),
        ([b'inf'], None),
        ([b'nan'], None),
        ([b'soon'], None),
        ([b'Sat, 05 Dec 2026 10:00:00 GMT'], None),
        ([], None),
    ],
)
def test_pause_is_the_longest_number_of_seconds_that_is_named(fields, pause_s):
    pairs = [(b'retry-after', field) for field in fields]
    assert notice(503, *pairs).pause_s == pause_s
    assert notice(429, *pairs).pause_s is None


@pytest.mark.parametrize('status', [200, 421, 503])
def test_endpoint_may_say_in_any_answer_that_it_leaves(status):
    assert notice(status, (b'server-leaving', b'1')).is_leaving
    assert not notice(status, (b'server-leaving', b'0')).is_leaving
    assert not notice(status).is_leaving


WHO = b'foxtailhatch-leaving-endpoint'


def forwarded(*pairs):
    head = ResponseHead(200, (*pairs, (b'server-leaving', b'1')))
    return PlatformCodec().decode_forwarded_head(head, request())


@pytest.mark.parametrize('name', ['i-4', 'a b', 'näme', 'x\r\ny', '7'])
def test_endpoint_that_leaves_is_named_between_entries(name):
    endpoint = EndpointIdentity(name, 12)
    header, field = PlatformCodec().leaving_header(endpoint)
    assert field.isascii()
    assert not set(field) & set(b'\r\n')
    response = forwarded((header, field))
    assert response.leaving == endpoint
    assert response.headers == ((b'server-leaving', b'1'),)


@pytest.mark.parametrize(
    'fields',
    [
        [],
        [b''],
        [b'i-4'],
        [b'12'],
        [b'-1 i-4'],
        [b'1.5 i-4'],
        [b'x i-4'],
        [b'\xb2 i-4'],
        [b'12 i-4', b'12 i-5'],
        [b'12 ' + b'i' * 2000],
        [b'9' * 2000 + b' i-4'],
    ],
)
def test_malformed_name_of_an_endpoint_that_leaves_is_none(fields):
    response = forwarded(*((WHO, field) for field in fields))
    assert response.leaving is None
    assert response.notice.is_leaving


# Guards against an endpoint that has another one taken out of service.
def test_endpoint_cannot_say_that_another_one_leaves():
    head = ResponseHead(200, ((WHO, b'1 i-9'), (b'server-leaving', b'1')))
    response = PlatformCodec().decode_head(head, request())
    assert response.leaving is None
    assert WHO not in dict(response.headers)
