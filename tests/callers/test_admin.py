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
        self.asked = []
        self.outcome = Success(PublishedVersion(4))

    async def publish(self, req):
        self.asked.append(req)
        return self.outcome

    def configuration(self):
        return ConfigurationInForce(3, b'{"accounts": []}')

    async def mark(self, req):
        self.asked.append(req)
        return Success(None)


def with_operations(test):
    operations = FakeOperations()
    access = OperatorAccess(operations, b'operators-key')

    async def run(server):
        await test(server, operations)

    run.__name__ = test.__name__
    return with_server(run, access)


@with_operations
async def test_a_publication_is_handed_on_and_answers_its_version(
    server,
    operations,
):
    headers = {**KEY, 'Idempotency-Key': 'p-1'}
    path = '/admin/publish?made_from=3'
    reply = await server.ask('POST', path, b'{}', **headers)
    assert reply.json() == {'version': 4}
    assert operations.asked == [PublishRequest(b'{}', 3, 'p-1')]


@with_operations
async def test_a_conflict_names_the_version_in_force(server, operations):
    operations.outcome = Failure(PublishConflict(5))
    path = '/admin/publish?made_from=3'
    reply = await server.ask('POST', path, b'{}', **KEY)
    assert (reply.status, reply.error()['in_force']) == (409, 5)


@with_operations
async def test_a_faulty_document_has_its_faults_named(server, operations):
    fault = ConfigFault('models[0].layers', 'Too few.')
    operations.outcome = Failure(InvalidDocument((fault,)))
    path = '/admin/publish?made_from=3'
    reply = await server.ask('POST', path, b'{}', **KEY)
    assert reply.status == 400
    named = [{'path': 'models[0].layers', 'message': 'Too few.'}]
    assert reply.error()['faults'] == named


@with_operations
async def test_a_publication_must_say_what_it_was_made_from(server, operations):
    reply = await server.ask('POST', '/admin/publish', b'{}', **KEY)
    assert reply.status == 400
    assert not operations.asked


@with_operations
async def test_a_refused_publication_keeps_its_run_state(server, operations):
    down = Refusal(ErrorCode.LOG_UNAVAILABLE, 'Down.')
    operations.outcome = Failure(down)
    path = '/admin/publish?made_from=3'
    reply = await server.ask('POST', path, b'{}', **KEY)
    assert (reply.status, reply.error()['run']) == (503, 'not_run')


@with_operations
async def test_the_configuration_in_force_is_shown(server, operations):
    reply = await server.ask('GET', '/admin/configuration', **KEY)
    assert reply.json() == {'version': 3, 'document': {'accounts': []}}


@with_operations
async def test_a_mark_is_handed_on(server, operations):
    body = json.dumps({'instance': 'engine-7', 'mark': 'leave'}).encode()
    headers = {**KEY, 'Idempotency-Key': 'm-1'}
    reply = await server.ask('POST', '/admin/marks', body, **headers)
    assert reply.status == 200
    assert operations.asked == [MarkRequest('engine-7', Mark.LEAVE, 'm-1')]


@pytest.mark.parametrize('path', ['configuration', 'publish', 'marks'])
def test_a_wrong_key_opens_no_path(path):
    @with_operations
    async def refused(server, operations):
        headers = {'Authorization': 'Bearer good'}
        reply = await server.ask('GET', f'/admin/{path}', **headers)
        assert reply.error()['code'] == 'bad_token'

    refused()


@with_server
async def test_without_a_key_in_settings_the_paths_are_closed(server):
    reply = await server.ask('GET', '/admin/configuration', **KEY)
    assert reply.error()['code'] == 'forbidden'
