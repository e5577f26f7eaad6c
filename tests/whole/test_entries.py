"""Several entries, each in its own process."""

import time

import pytest

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    call,
    configuration,
    environment,
    request_completion,
    start_engines,
    start_platform,
)

WAIT_S = 20


@pytest.fixture
def system():
    with new_launcher(environment()) as launcher:
        running = start_platform(launcher)
        start_engines(running, (0, LAYERS))
        running.start_entry('entry-1', 'thrissur-a')
        running.publish(configuration(), 0, 'entry-1')
        running.wait_until_ready('entry-1')
        yield running


def eventually(holds):
    """Poll until ``holds`` returns true; fail after ``WAIT_S`` seconds."""
    deadline = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def recommended(entry, zone):
    path = f'/v1/entry?zone={zone}'
    return call(entry.address, 'GET', path).json()['addresses']


def test_entries_discover_each_other_and_recommend_the_one_in_zone(system):
    first = system.entries['entry-1']
    second = system.start_entry('entry-2', 'chalakudy-c', [first.peers])
    eventually(lambda: len(recommended(first, 'chalakudy-c')) == 2)
    assert recommended(first, 'chalakudy-c')[0] == second.address
    assert recommended(first, 'thrissur-a')[0] == first.address


def test_entry_marked_to_leave_is_no_longer_recommended(system):
    first = system.entries['entry-1']
    second = system.start_entry('entry-2', 'chalakudy-c', [first.peers])
    eventually(lambda: len(recommended(first, 'chalakudy-c')) == 2)
    assert system.mark('entry-2', 'leave', 'entry-1').status == 200
    eventually(lambda: second.address not in recommended(first, 'chalakudy-c'))


def test_entry_without_the_log_gets_the_configuration_from_peers(system):
    first = system.entries['entry-1']
    log = system.log.address
    system.log.address = '127.0.0.1:1'
    second = system.start_entry('entry-2', 'thrissur-a', [first.peers])
    system.log.address = log
    system.wait_until_ready('entry-2')
    assert request_completion(second.address, 'hello', 2).status == 200


def test_entry_with_a_different_peer_key_is_refused(system):
    first = system.entries['entry-1']
    launcher = system.launcher
    launcher.environment = {
        **environment(),
        'FOXTAILHATCH_PEER_KEY': 'not-the-key-of-the-others',
    }
    stranger = system.start_entry('stranger', 'thrissur-a', [first.peers])
    eventually(lambda: system.status('entry-1')['peer_links_refused'] > 0)
    assert stranger.address not in recommended(first, 'thrissur-a')


def test_draining_endpoint_gets_no_new_work(system):
    system.start_engine('other', 'thrissur-a', (0, LAYERS))
    assert system.mark('engine-0', 'leave', 'entry-1').status == 200
    eventually(
        lambda: system.status('entry-1')['endpoints']['engine-0'] == 'leaving'
    )
    eventually(
        lambda: (
            request_completion(system.entries['entry-1'].address, 'x', 1).status
            == 200
        )
    )
    before = _chains_through(system, 'engine-0')
    for _ in range(5):
        assert (
            request_completion(system.entries['entry-1'].address, 'x', 1).status
            == 200
        )
    assert _chains_through(system, 'engine-0') == before


def _chains_through(system, engine):
    address = system.entries['entry-1'].address
    events = call(address, 'GET', '/timeline').json()
    chosen = [event for event in events if event['event'] == 'chain_chosen']
    return sum(event['detail'].endswith(f':{engine}') for event in chosen)
