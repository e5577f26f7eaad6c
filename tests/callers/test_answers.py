import json

from foxtailhatch.callers import FinishReason
from foxtailhatch.callers.answer_timing import AnswerTimes
from foxtailhatch.core import ErrorCode, Refusal, RunState
from tests.callers.http import LIMITS, answer_with, request_bytes, with_server

PATH = '/v1/completions'
CHAT = '/v1/chat/completions'
BODY = {'model': 'guide', 'prompt': 'hé'}
STREAM = {**BODY, 'stream': True}


def events(reply):
    """Return the id, if any, and the data of each event."""
    blocks = reply.body.decode().strip().split('\n\n')
    fields = [
        dict(line.split(': ', 1) for line in block.split('\n'))
        for block in blocks
    ]
    return [(block.get('id'), block['data']) for block in fields]


@with_server
async def test_a_complete_answer_has_text_tokens_and_finish_reason(server):
    server.gateway.script = answer_with('né', FinishReason.LENGTH)
    reply = await server.post(PATH, BODY, X_Deadline_Seconds='1.5')
    choice = reply.json()['choices'][0]
    assert (reply.status, choice['text']) == (200, 'né')
    assert choice['tokens'] == list('né'.encode())
    assert choice['finish_reason'] == 'length'
    request = server.gateway.requests[0]
    assert request.prompt == tuple('hé'.encode())
    assert (request.deadline_s, request.key) == (1.5, None)
    assert server.observability.outcomes == [None]


@with_server
async def test_chat_messages_are_rendered_into_a_prompt(server):
    server.gateway.script = answer_with('ok')
    messages = [{'role': 'user', 'content': 'hi'}]
    reply = await server.post(CHAT, {'model': 'guide', 'messages': messages})
    message = {'role': 'assistant', 'content': 'ok'}
    assert reply.json()['choices'][0]['message'] == message
    request = server.gateway.requests[0]
    assert bytes(request.prompt) == b'user: hi\nassistant:'


@with_server
async def test_a_stream_numbers_its_events_and_ends_with_done(server):
    server.gateway.script = answer_with('aé')
    reply = await server.post(PATH, STREAM)
    assert reply.headers['content-type'] == 'text/event-stream'
    (first_id, first), (second_id, second), (_, last), (_, done) = events(reply)
    assert (first_id, second_id) == ('0', '2')
    assert json.loads(first)['choices'][0]['text'] == 'a'
    assert json.loads(second)['choices'][0]['tokens'] == list('é'.encode())
    assert json.loads(last)['choices'][0]['finish_reason'] == 'stop'
    assert done == '[DONE]'


@with_server
async def test_a_stream_continues_after_the_received_tokens(server):
    server.gateway.script = answer_with('lo', first=3)
    reply = await server.post(PATH, {**STREAM, 'received': 'hel'})
    assert server.gateway.requests[0].received == tuple(b'hel')
    assert events(reply)[0][0] == '3'


@with_server
async def test_a_stream_that_fails_ends_with_the_error(server):
    lost = Refusal(ErrorCode.ENDPOINT_FAILED, 'Lost.', RunState.RAN)

    def script(req, sink):
        sink.token(0, 97)
        sink.failed(lost)

    server.gateway.script = script
    reply = await server.post(PATH, STREAM)
    last = json.loads(events(reply)[-1][1])
    assert last['error']['code'] == 'endpoint_failed'
    assert last['error']['run'] == 'ran'
    assert b'[DONE]' not in reply.body
    assert server.observability.outcomes == [ErrorCode.ENDPOINT_FAILED]


@with_server
async def test_a_refusal_before_the_first_token_has_the_status_of_its_code(
    server,
):
    full = Refusal(
        ErrorCode.QUEUE_FULL,
        'Full.',
        retry_after_s=2,
        address='10.0.0.2:80',
    )
    server.gateway.script = lambda req, sink: sink.failed(full)
    reply = await server.post(PATH, STREAM)
    assert (reply.status, reply.headers['retry-after']) == (503, '2')
    assert reply.error() == {
        'code': 'queue_full',
        'message': 'Full.',
        'run': 'not_run',
        'retry_after_s': 2,
        'address': '10.0.0.2:80',
    }


@with_server
async def test_the_answer_is_cancelled_when_the_caller_disconnects(server):
    _, writer = await server.connect()
    body = json.dumps(STREAM).encode()
    headers = {'Authorization': 'Bearer good'}
    writer.write(request_bytes('POST', PATH, body, headers))
    server.gateway.script = lambda req, sink: writer.transport.abort()
    await server.gateway.answer.wait_for('cancel')
    server.gateway.sink.token(0, 97)
    assert server.observability.outcomes == [ErrorCode.CANCELLED]


@with_server
async def test_token_latencies_are_recorded(server):
    def script(req, sink):
        for index, seconds in enumerate((0.25, 0.03125, 0.0625)):
            server.clock.advance(seconds)
            sink.token(index, 97)
        sink.finished(FinishReason.STOP)

    server.gateway.script = script
    await server.post(PATH, BODY)
    assert server.observability.answer_times == [AnswerTimes(0.25, 1)]


@with_server
async def test_the_default_deadline_is_that_of_the_settings(server):
    server.gateway.script = answer_with('')
    await server.post(PATH, BODY)
    assert server.gateway.requests[0].deadline_s == LIMITS.first_token_s


@with_server
async def test_a_token_out_of_order_stops_the_process(server):
    server.gateway.script = lambda req, sink: sink.token(1, 97)
    reply = await server.post(PATH, STREAM)
    assert reply.error()['run'] == 'unknown'
    evidence = server.observability.violations[0].evidence
    assert evidence.endswith('token 1, expected 0')
