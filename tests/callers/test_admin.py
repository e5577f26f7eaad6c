import json

import pytest
from returns.result import Failure, Success

from foxtailhatch.callers import (
    ConfigurationInForce,
    InvalidDocument,
    MarkRequest,
    OperatorAccess,
    PublishConflict,
    PublishedVersion,
    PublishRequest,
)
from foxtailhatch.config import ConfigFault
from foxtailhatch.core import ErrorCode, Mark, Refusal
from tests.callers.http import with_server

KEY = {'Authorization': 'Bearer operators-key'}


class FakeOperations:
    def __init__(self):
        self.requests = []
        self.outcome = Success(PublishedVersion(4))

    async def publish(self, req):
        self.requests.append(req)
        return self.outcome

    def configuration(self):
        return ConfigurationInForce(3, b'{"accounts": []}')

    async def mark(self, req):
        self.requests.append(req)
        return Success(None)


def with_operations(test):
    operations = FakeOperations()
    access = OperatorAccess(operations, b'operators-key')

    async def run(server):
        await test(server, operations)

    run.__name__ = test.__name__
    return with_server(run, access)


@with_operations
async def test_publish_calls_the_daemon_and_returns_the_version(
    server,
    operations,
):
    headers = {**KEY, 'Idempotency-Key': 'p-1'}
    path = '/admin/publish?made_from=3'
    reply = await server.request('POST', path, b'{}', **headers)
    assert reply.json() == {'version': 4}
    assert operations.requests == [PublishRequest(b'{}', 3, 'p-1')]


@with_operations
async def test_publish_conflict_returns_the_version_in_force(
    server, operations
):
    operations.outcome = Failure(PublishConflict(5))
    path = '/admin/publish?made_from=3'
    reply = await server.request('POST', path, b'{}', **KEY)
    assert (reply.status, reply.error()['in_force']) == (409, 5)


@with_operations
async def test_publish_of_an_invalid_document_returns_its_faults(
    server, operations
):
    fault = ConfigFault('models[0].layers', 'Too few.')
    operations.outcome = Failure(InvalidDocument((fault,)))
    path = '/admin/publish?made_from=3'
    reply = await server.request('POST', path, b'{}', **KEY)
    assert reply.status == 400
    expected = [{'path': 'models[0].layers', 'message': 'Too few.'}]
    assert reply.error()['faults'] == expected


@with_operations
async def test_publish_without_made_from_is_refused(server, operations):
    reply = await server.request('POST', '/admin/publish', b'{}', **KEY)
    assert reply.status == 400
    assert not operations.requests


@with_operations
async def test_publish_returns_the_run_state_of_a_refusal(server, operations):
    down = Refusal(ErrorCode.LOG_UNAVAILABLE, 'Down.')
    operations.outcome = Failure(down)
    path = '/admin/publish?made_from=3'
    reply = await server.request('POST', path, b'{}', **KEY)
    assert (reply.status, reply.error()['run']) == (503, 'not_run')


@with_operations
async def test_configuration_returns_the_one_in_force(server, operations):
    reply = await server.request('GET', '/admin/configuration', **KEY)
    assert reply.json() == {'version': 3, 'document': {'accounts': []}}


@with_operations
async def test_marks_calls_the_daemon(server, operations):
    body = json.dumps({'instance': 'engine-7', 'mark': 'leave'}).encode()
    headers = {**KEY, 'Idempotency-Key': 'm-1'}
    reply = await server.request('POST', '/admin/marks', body, **headers)
    assert reply.status == 200
    assert operations.requests == [MarkRequest('engine-7', Mark.LEAVE, 'm-1')]


@pytest.mark.parametrize('path', ['configuration', 'publish', 'marks'])
def test_a_wrong_operator_key_is_refused(path):
    @with_operations
    async def refused(server, operations):
        headers = {'Authorization': 'Bearer good'}
        reply = await server.request('GET', f'/admin/{path}', **headers)
        assert reply.error()['code'] == 'bad_token'

    refused()


@with_server
async def test_admin_paths_are_forbidden_without_a_key_in_the_settings(server):
    reply = await server.request('GET', '/admin/configuration', **KEY)
    assert reply.error()['code'] == 'forbidden'
