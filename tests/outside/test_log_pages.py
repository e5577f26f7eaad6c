"""Which pages of the log are taken for the records that were asked for."""

import json

import pytest

from foxtailhatch.outside import PlatformFault
from foxtailhatch.outside.log_http import HttpLogService
from tests.outside.loop import run
from tests.outside.raw import raw_server
from tests.outside.standin import client

START = 5
LIMIT = 3


def _read(offsets, first=0, end=20, epoch=0):
    records = [{'offset': each, 'time': 0, 'body': ''} for each in offsets]
    document = {'records': records, 'first': first, 'end': end, 'epoch': epoch}
    body = json.dumps(document).encode()
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    with raw_server({b'GET': head + body}) as ports:
        log = HttpLogService(client(), ports.address())
        return run(log.read('c', START, LIMIT))


@pytest.mark.parametrize(
    ('offsets', 'bounds'),
    [
        ([], {}),
        ([5, 6, 7], {}),
        ([5, 6], {'end': 7}),
        ([8, 9], {'first': 8}),
        ([], {'first': 5, 'end': 5}),
        ([], {'first': 20}),
    ],
)
def test_the_records_that_follow_are_taken(offsets, bounds):
    page = _read(offsets, **bounds).unwrap()
    assert [record.offset for record in page.records] == offsets


# Guards against a reader that takes records for lost, or that holds more than it
# asked for, since a page has other records or bounds than those of the log.
@pytest.mark.parametrize(
    ('offsets', 'bounds'),
    [
        ([4], {}),
        ([6], {}),
        ([5, 7], {}),
        ([6, 5], {}),
        ([5, 5], {}),
        ([5, 6, 7, 8], {}),
        ([5], {'end': 5}),
        ([5], {'first': 6}),
        ([], {'first': 21}),
        ([], {'first': -1}),
        ([], {'first': 10**18, 'end': 10**18}),
        ([], {'epoch': -1}),
        ([], {'epoch': 10**18}),
    ],
)
def test_other_records_are_an_invalid_response(offsets, bounds):
    outcome = _read(offsets, **bounds)
    assert outcome.failure().fault is PlatformFault.INVALID_RESPONSE
