"""Requests end to end, with each instance in its own process."""

import json
import signal
import time

import pytest

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    VERSION,
    call,
    configuration,
    environment,
    open_response,
    request_completion,
    start_engines,
    start_platform,
)
from standins.toy_model import reference_answer

PROMPT = 'Untangle the dead strand at ward seven.'


@pytest.fixture(scope='module')
def system():
    with new_launcher(environment()) as launcher:
        running = start_platform(launcher)
        start_engines(running, (0, 4, 8, LAYERS))
        running.start_service('desk-1', 'thrissur-a')
        running.start_entry('entry-1', 'thrissur-a')
        published = running.publish(configuration(), 0, 'entry-1')
        assert published.json() == {'version': 1}
        running.wait_until_ready('entry-1')
        yield running


def expected_text(max_tokens, prompt=PROMPT):
    tokens, _ = reference_answer(
        MODEL, VERSION, LAYERS, tuple(prompt.encode()), max_tokens
    )
    return bytes(tokens).decode()


def stream_of(address, max_tokens):
    document = {
        'model': MODEL,
        'prompt': PROMPT,
        'max_tokens': max_tokens,
        'stream': True,
    }
    return open_response(address, 'POST', '/v1/completions', document, TOKEN)


def events_of(response):
    """Yield the text of each event, and ``None`` for ``[DONE]``."""
    for line in response:
        if line.startswith(b'data: [DONE]'):
            yield None
        elif line.startswith(b'data: '):
            document = json.loads(line[len(b'data: ') :])
            assert 'choices' in document, document
            yield document['choices'][0].get('text', '')


def booking(address, key):
    return call(
        address,
        'POST',
        '/v1/services/store-desk/bookings',
        {'reel': 7},
        TOKEN,
        Idempotency_Key=key,
    )


def runs_of(system, key):
    address = system.services['desk-1'].address
    return call(address, 'GET', '/runs').json()['runs'].get(key, 0)


def new_key(name):
    return f'{int(time.time())}-{name}'


def test_answer_runs_over_three_endpoints(system):
    answer = request_completion(system.entries['entry-1'].address, PROMPT, 40)
    assert answer.json()['choices'][0]['text'] == expected_text(40)


def test_booking_sent_twice_with_one_key_runs_once(system):
    key = new_key('twice')
    first = booking(system.entries['entry-1'].address, key)
    second = booking(system.entries['entry-1'].address, key)
    assert (first.status, second.status) == (200, 200)
    assert first.body == second.body
    assert runs_of(system, key) == 1


def test_booking_sent_to_two_entries_with_one_key_runs_once(system):
    system.start_entry('entry-2', 'irinjalakuda-b')
    system.wait_until_ready('entry-2')
    key = new_key('rivals')
    answers = [booking(e.address, key) for e in system.entries.values()]
    assert [answer.status for answer in answers] == [200, 200]
    assert runs_of(system, key) == 1


def test_answer_is_complete_after_a_stage_is_killed(system):
    system.start_engine('spare', 'thrissur-a', (0, 4), '--base-s', '0.01')
    system.engines['engine-0'].kill()
    # The spare is known to the entry once an answer was served through it.
    system.wait_until_ready('entry-1')
    system.start_engine('second', 'thrissur-a', (0, 4), '--base-s', '0.01')
    response = stream_of(system.entries['entry-1'].address, 300)
    text = []
    for number, part in enumerate(events_of(response)):
        if number == 20:
            system.engines['spare'].kill()
        if part is not None:
            text.append(part)
    assert ''.join(text) == expected_text(300)


def test_graceful_shutdown_aborts_no_answer():
    with new_launcher(environment()) as launcher:
        running = start_platform(launcher)
        running.start_engine(
            'slow', 'thrissur-a', (0, LAYERS), '--base-s', '0.005'
        )
        entry = running.start_entry(
            'entry-1', 'thrissur-a', periods={'entry_advice_keep_s': 0.1}
        )
        running.publish(configuration(), 0, 'entry-1')
        running.wait_until_ready('entry-1')
        events = events_of(stream_of(entry.address, 200))
        text = [next(events)]
        entry.process.send_signal(signal.SIGTERM)
        entry.process.send_signal(signal.SIGTERM)
        parts = list(events)
        assert parts[-1] is None
        text += [part for part in parts if part]
        assert ''.join(text) == expected_text(200)
        assert entry.wait(30) == 0
