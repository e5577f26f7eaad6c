"""Faults injected into separate processes during an answer."""

import base64
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    TOKEN,
    call,
    configuration,
    environment,
    request_completion,
    start_platform,
)
from tests.whole.helpers import (
    Stream,
    events_of,
    eventually,
    expected_text,
)

PROMPT = 'Strand nine is dark from the third knot on.'
TOKENS = 120
BEFORE_FAULT = 30
STEP = ('--base-s', '0.004')


@pytest.fixture(scope='module')
def system():
    """Two entries and three stages, with a second engine for the middle one."""
    with new_launcher(environment()) as launcher:
        running = start_platform(launcher)
        running.start_engine('first', 'thrissur-a', (0, 4), *STEP)
        running.start_engine('middle-1', 'thrissur-a', (4, 8), *STEP)
        running.start_engine('middle-2', 'thrissur-a', (4, 8), *STEP)
        running.start_engine('last', 'thrissur-a', (8, LAYERS), *STEP)
        running.start_service('desk-1', 'thrissur-a')
        quick = {
            'timeouts': {'log_call_s': 0.5},
            'periods': {'log_poll_s': 0.2},
        }
        seed = running.start_entry('entry-1', 'thrissur-a', **quick)
        running.start_entry('entry-2', 'thrissur-a', [seed.peers], **quick)
        assert running.publish(configuration(), 0, 'entry-1').status == 200
        for entry in running.entries:
            running.wait_until_ready(entry)
        yield running
        for entry in running.entries.values():
            assert call(entry.address, 'GET', '/healthz').status == 200


@pytest.fixture
def entry(system):
    return system.entries['entry-1'].address


def middle_of(entry, stream):
    """Return the name of the engine that runs the middle stage."""
    chosen = events_of(entry, stream.request_id, 'chain_chosen')
    return chosen[0].partition(':')[2].split('>')[1]


def kill(engine):
    engine.process.kill()


def freeze(engine):
    engine.process.send_signal(signal.SIGSTOP)


def stop_responding(engine):
    call(engine.admin, 'POST', '/faults', {'silence': True})


def restore(system, name):
    """Restore an engine, so that the next test has both middle engines."""
    engine = system.engines[name]
    if engine.process.poll() is None:
        engine.process.send_signal(signal.SIGCONT)
    else:
        system.start_engine(name, 'thrissur-a', (4, 8), *STEP)
    eventually(lambda: not system.status('entry-1')['ejected'])


@pytest.mark.parametrize('fault', [kill, freeze, stop_responding])
def test_answer_is_complete_when_a_stage_fails(system, entry, fault):
    stream = Stream(entry, PROMPT, TOKENS)
    stream.read(BEFORE_FAULT)
    name = middle_of(entry, stream)
    fault(system.engines[name])
    assert stream.read_all() == expected_text(PROMPT, TOKENS)
    recovered = events_of(entry, stream.request_id, 'answer_recovered')
    assert recovered
    assert name not in recovered[-1].partition(':')[2].split('>')
    restore(system, name)


def test_stage_that_resumes_after_recovery_changes_nothing(system, entry):
    stream = Stream(entry, PROMPT, TOKENS)
    stream.read(BEFORE_FAULT)
    name = middle_of(entry, stream)
    freeze(system.engines[name])
    eventually(lambda: events_of(entry, stream.request_id, 'answer_recovered'))
    system.engines[name].process.send_signal(signal.SIGCONT)
    assert stream.read_all() == expected_text(PROMPT, TOKENS)


def test_late_and_duplicate_outputs_change_nothing(system, entry):
    stream = Stream(entry, PROMPT, TOKENS)
    stream.read(BEFORE_FAULT)
    name = middle_of(entry, stream)
    faults = {'late': 1, 'late_s': 0.6, 'duplicate': 5, 'reorder': 1}
    for engine in (system.engines[name], system.engines['last']):
        call(engine.admin, 'POST', '/faults', faults)
    assert stream.read_all() == expected_text(PROMPT, TOKENS)


def test_caller_disconnect_frees_the_streams_of_all_engines(system, entry):
    stream = Stream(entry, PROMPT, 10 * TOKENS)
    stream.read(BEFORE_FAULT)
    assert engines_with(system, stream) == 3
    stream.response.close()
    eventually(lambda: engines_with(system, stream) == 0)
    assert events_of(entry, stream.request_id, 'request_cancelled')


def engines_with(system, stream):
    path = f'/kv/{stream.request_id}'
    answers = (
        call(engine.address, 'GET', path) for engine in system.engines.values()
    )
    return sum(answer.status == 200 for answer in answers)


def test_one_of_two_concurrent_publications_gets_a_conflict(system):
    made_from = system.status('entry-1')['configuration_version']
    eventually(
        lambda: system.status('entry-2')['configuration_version'] == made_from
    )
    with ThreadPoolExecutor() as pool:
        answers = list(
            pool.map(
                lambda name: system.publish(
                    configuration(
                        accounts=[{'name': 'festoon'}, {'name': name}]
                    ),
                    made_from,
                    name,
                ),
                system.entries,
            )
        )
    assert sorted(answer.status for answer in answers) == [200, 409]
    won = next(answer for answer in answers if answer.status == 200)
    for name in system.entries:
        eventually(
            lambda name=name: (
                system.status(name)['configuration_version']
                == won.json()['version']
            )
        )


def book(address, key, **headers):
    return call(
        address,
        'POST',
        '/v1/services/store-desk/bookings',
        {'reel': 7},
        TOKEN,
        Idempotency_Key=key,
        **headers,
    )


def runs_of(system, key):
    address = system.services['desk-1'].address
    return call(address, 'GET', '/runs').json()['runs'].get(key, 0)


def new_key(name):
    return f'{int(time.time())}-{name}'


@pytest.mark.parametrize('fault', ['stopped', 'down'])
def test_without_the_log_answers_continue_and_bookings_are_refused(
    system, entry, fault
):
    log = system.log
    key = new_key(fault)
    if fault == 'stopped':
        log.process.send_signal(signal.SIGSTOP)
    else:
        call(log.admin, 'POST', '/faults', {'down': True})
    try:
        refused = book(entry, key, X_First_Try='true')
        answer = request_completion(entry, PROMPT, 10)
    finally:
        log.process.send_signal(signal.SIGCONT)
        call(log.admin, 'POST', '/faults', {'down': False})
    assert answer.json()['choices'][0]['text'] == expected_text(PROMPT, 10)
    assert refused.status == 503
    error = refused.json()['error']
    assert (error['code'], error['run']) == ('log_unavailable', 'not_run')
    eventually(lambda: book(entry, key).status == 200)
    assert runs_of(system, key) == 1


def test_mark_refused_by_the_log_is_reported_as_not_run(system):
    call(system.log.admin, 'POST', '/faults', {'down': True})
    try:
        answer = system.mark('middle-2', 'join', 'entry-1')
    finally:
        call(system.log.admin, 'POST', '/faults', {'down': False})
    error = answer.json()['error']
    assert (error['code'], error['run']) == ('log_unavailable', 'not_run')


def claims_in_log(system, key):
    """Return how often ``key`` occurs in the claim records of the log."""
    pages = (
        call(system.log.admin, 'GET', f'/streams/claims-{part}?from=0')
        for part in range(4)
    )
    records = [each for page in pages for each in page.json()['records']]
    bodies = [base64.urlsafe_b64decode(each['body']) for each in records]
    return sum(body.count(key.encode()) for body in bodies)


def test_booking_runs_once_if_its_entry_is_paused_after_the_claim(
    system, entry
):
    key = new_key('frozen')
    other = system.entries['entry-2'].address
    paused = system.entries['entry-1'].process
    call(system.log.admin, 'POST', '/faults', {'slow_s': 0.35})
    with ThreadPoolExecutor() as pool:
        first = pool.submit(book, entry, key)
        try:
            eventually(lambda: claims_in_log(system, key) > 0)
            paused.send_signal(signal.SIGSTOP)
            call(system.log.admin, 'POST', '/faults', {'slow_s': 0})
            assert runs_of(system, key) == 0
            second = pool.submit(book, other, key)
            # A later booking that succeeds shows that entry-2 has read the
            # claim.
            assert book(other, new_key('later')).status == 200
            assert runs_of(system, key) == 0
        finally:
            paused.send_signal(signal.SIGCONT)
        assert first.result().status == second.result().status == 200
    assert runs_of(system, key) == 1
