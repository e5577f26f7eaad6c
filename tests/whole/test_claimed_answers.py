"""At-most-once model answers, with each instance in its own process."""

import time

import pytest

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    call,
    configuration,
    environment,
    open_response,
    start_engines,
    start_platform,
)

# How much of the log of each entry a failure shows.
LOG_CHARS = 6_000
AT_MOST_ONCE = {
    'name': 'once',
    'callers': {},
    'targets': {},
    'repeatable': False,
}


@pytest.fixture(scope='module')
def system():
    with new_launcher(environment()) as launcher:
        running = start_platform(launcher)
        start_engines(running, (0, 6, LAYERS))
        for name in ('entry-1', 'entry-2'):
            running.start_entry(name, 'thrissur-a')
        running.publish(configuration(selectors=[AT_MOST_ONCE]), 0, 'entry-1')
        for name in ('entry-1', 'entry-2'):
            wait_until_reachable(running, name)
        yield running


def wait_until_reachable(system, entry):
    """Wait until an entry has the configuration and both engines."""
    deadline = time.monotonic() + 20
    while True:
        status = system.status(entry)
        has_configuration = status['configuration_version'] == 1
        if has_configuration and len(status['endpoints']) == 2:
            return
        assert time.monotonic() < deadline
        time.sleep(0.05)


def document(max_tokens=30, **more):
    return {
        'model': MODEL,
        'prompt': 'Reorder diesel for the mine.',
        'max_tokens': max_tokens,
        **more,
    }


def ask(system, entry, key=None, **more):
    headers = {} if key is None else {'Idempotency_Key': key}
    address = system.entries[entry].address
    body = document(**more)
    return call(address, 'POST', '/v1/completions', body, TOKEN, **headers)


def text_of(system, reply):
    """Return the text of an answer; a failure shows the reply and the logs."""
    assert reply.status == 200, evidence(system, reply)
    return reply.json()['choices'][0]['text']


def evidence(system, reply):
    parts = [f'{reply.status} {reply.body}', str(system.launcher.folder)]
    for name, entry in system.entries.items():
        timeline = call(entry.address, 'GET', '/timeline').body.decode()
        parts.append(f'--- {name}\n{timeline[-LOG_CHARS:]}')
        parts.append(entry.log_text()[-LOG_CHARS:])
    return '\n'.join(parts)


def new_key(name):
    return f'{int(time.time())}-{name}'


def chains_chosen(system):
    return sum(
        event['event'] == 'chain_chosen'
        for entry in system.entries.values()
        for event in call(entry.address, 'GET', '/timeline').json()
    )


def test_request_without_a_key_is_not_run(system):
    answer = ask(system, 'entry-1')
    assert answer.json()['error']['code'] == 'key_required'
    assert answer.json()['error']['run'] == 'not_run'


def test_repeated_request_with_the_same_key_runs_once(system):
    key = new_key('once')
    before = chains_chosen(system)
    first = ask(system, 'entry-1', key)
    second = ask(system, 'entry-2', key)
    text = text_of(system, first)
    assert len(text) == 30
    assert text_of(system, second) == text
    assert chains_chosen(system) == before + 1


def test_different_request_with_the_same_key_is_not_run(system):
    key = new_key('reused')
    assert text_of(system, ask(system, 'entry-1', key))
    other = ask(system, 'entry-1', key, max_tokens=5)
    assert other.json()['error']['code'] == 'key_reused'


def test_answer_aborted_by_its_caller_is_not_run_again(system):
    key = new_key('cut')
    address = system.entries['entry-1'].address
    for engine in system.engines.values():
        call(engine.admin, 'POST', '/faults', {'slow_s': 0.02})
    response = open_response(
        address,
        'POST',
        '/v1/completions',
        document(max_tokens=60, stream=True),
        TOKEN,
        Idempotency_Key=key,
    )
    response.readline()
    response.close()
    before = chains_chosen(system)
    again = ask(system, 'entry-2', key, max_tokens=60)
    assert again.json()['error']['run'] == 'unknown'
    assert chains_chosen(system) == before
