"""What tells that two requests are the same."""

import pytest

from foxtailhatch.relay.request import RelayRequest


def fingerprint(
    request_id='q1',
    target='/a/b',
    body=b'x',
    account='crew',
    parts=('s', 'own'),
):
    req = RelayRequest(
        request_id=request_id,
        method='POST',
        target=target,
        host='host.example',
        headers=(),
        body=body,
        key='key',
        caller_timeout_s=None,
        tokens=None,
        last_event_id=None,
        prompt_parts=parts,
    )
    return req.with_fingerprint(account).fingerprint


def test_request_that_is_sent_again_has_the_same_fingerprint():
    assert fingerprint(request_id='q2') == fingerprint()


@pytest.mark.parametrize(
    'other',
    [
        {'target': '/a/c'},
        {'body': b'y'},
        {'account': 'crowd'},
        {'account': None},
        {'parts': ('s', 'other')},
        {'target': '/a/', 'body': b'bx'},
    ],
)
def test_other_requests_have_other_fingerprints(other):
    assert fingerprint(**other) != fingerprint()
