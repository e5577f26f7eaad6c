import json

from foxtailhatch.callers import FinishReason
from foxtailhatch.callers.answer_times import AnswerTimes
from foxtailhatch.core import ErrorCode, Refusal, RunState
from tests.callers.http import LIMITS, request_bytes, say, with_front

PATH = '/v1/completions'
CHAT = '/v1/chat/completions'
ASK = {'model': 'guide', 'prompt': 'hé'}
STREAM = {**ASK, 'stream': True}


def events(reply):
    """Return the data of each event, and the id of those that have one."""
    blocks = reply.body.decode().strip().split('\n\n')
    fields = [
        dict(line.split(': ', 1) for line in block.split('\n'))
        for block in blocks
    ]
    return [(block.get('id'), block['data']) for block in fields]


@with_front
async def test_a_whole_answer_has_text_tokens_and_reason(front):
    front.gateway.script = say('né', FinishReason.LENGTH)
    reply = await front.post(PATH, ASK, X_Deadline_Seconds='1.5')
    choice = reply.json()['choices'][0]
    assert (reply.status, choice['text']) == (200, 'né')
    assert choice['tokens'] == list('né'.encode())
    assert choice['finish_reason'] == 'length'
    asked = front.gateway.generated[0]
    assert asked.prompt == tuple('hé'.encode())
    assert (asked.deadline_s, asked.key) == (1.5, None)
    assert front.observability.ended == [None]


@with_front
async def test_a_chat_is_rendered_and_answered(front):
    front.gateway.script = say('ok')
    messages = [{'role': 'user', 'content': 'hi'}]
    reply = await front.post(CHAT, {'model': 'guide', 'messages': messages})
    message = {'role': 'assistant', 'content': 'ok'}
    assert reply.json()['choices'][0]['message'] == message
    asked = front.gateway.generated[0]
    assert bytes(asked.prompt) == b'user: hi\nassistant:'


@with_front
async def test_a_stream_numbers_its_events_and_ends_with_done(front):
    front.gateway.script = say('aé')
    reply = await front.post(PATH, STREAM)
    assert reply.headers['content-type'] == 'text/event-stream'
    (first, one), (second, two), (_, last), (_, done) = events(reply)
    assert (first, second) == ('0', '2')
    assert json.loads(one)['choices'][0]['text'] == 'a'
    assert json.loads(two)['choices'][0]['tokens'] == list('é'.encode())
    assert json.loads(last)['choices'][0]['finish_reason'] == 'stop'
    assert done == '[DONE]'


@with_front
async def test_a_stream_goes_on_after_what_was_received(front):
    front.gateway.script = say('lo', first=3)
    reply = await front.post(PATH, {**STREAM, 'received': 'hel'})
    assert front.gateway.generated[0].received == tuple(b'hel')
    assert events(reply)[0][0] == '3'


@with_front
async def test_a_stream_that_fails_midway_ends_with_its_error(front):
    lost = Refusal(ErrorCode.ENDPOINT_FAILED, 'Lost.', RunState.RAN)

    def script(req, sink):
        sink.token(0, 97)
        sink.failed(lost)

    front.gateway.script = script
    reply = await front.post(PATH, STREAM)
    last = json.loads(events(reply)[-1][1])
    assert last['error']['code'] == 'endpoint_failed'
    assert last['error']['run'] == 'ran'
    assert b'[DONE]' not in reply.body
    assert front.observability.ended == [ErrorCode.ENDPOINT_FAILED]


@with_front
async def test_a_refusal_before_the_first_token_has_its_status(front):
    full = Refusal(
        ErrorCode.QUEUE_FULL,
        'Full.',
        retry_after_s=2,
        address='10.0.0.2:80',
    )
    front.gateway.script = lambda req, sink: sink.failed(full)
    reply = await front.post(PATH, STREAM)
    assert (reply.status, reply.headers['retry-after']) == (503, '2')
    assert reply.error() == {
        'code': 'queue_full',
        'message': 'Full.',
        'run': 'not_run',
        'retry_after_s': 2,
        'address': '10.0.0.2:80',
    }


@with_front
async def test_a_caller_that_hangs_up_has_its_answer_cancelled(front):
    _, writer = await front.connect()
    body = json.dumps(STREAM).encode()
    headers = {'Authorization': 'Bearer good'}
    writer.write(request_bytes('POST', PATH, body, headers))
    front.gateway.script = lambda req, sink: writer.transport.abort()
    await front.gateway.answer.until('cancel')
    front.gateway.sink.token(0, 97)
    assert front.observability.ended == [ErrorCode.CANCELLED]


@with_front
async def test_the_times_of_tokens_are_counted(front):
    def script(req, sink):
        for index, seconds in enumerate((0.25, 0.03125, 0.0625)):
            front.clock.advance(seconds)
            sink.token(index, 97)
        sink.finished(FinishReason.STOP)

    front.gateway.script = script
    await front.post(PATH, ASK)
    assert front.observability.timed == [AnswerTimes(0.25, 1)]


@with_front
async def test_a_caller_without_a_deadline_gets_that_of_the_settings(front):
    front.gateway.script = say('')
    await front.post(PATH, ASK)
    assert front.gateway.generated[0].deadline_s == LIMITS.first_token_s


@with_front
async def test_a_token_out_of_order_stops_the_process(front):
    front.gateway.script = lambda req, sink: sink.token(1, 97)
    reply = await front.post(PATH, STREAM)
    assert reply.error()['run'] == 'unknown'
    evidence = front.observability.broken[0].evidence
    assert evidence.endswith('token 1, due 0')
