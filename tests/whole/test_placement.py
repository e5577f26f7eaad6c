"""Placement end to end: lease, desired state, order and answer."""

import time

from demo.launcher import new_launcher
from demo.system import (
    call,
    configuration,
    environment,
    request_completion,
    start_platform,
)

WAIT_S = 60


def test_uncovered_layers_are_loaded_and_served():
    with new_launcher(environment()) as launcher:
        system = start_platform(launcher)
        for name in ('engine-0', 'engine-1'):
            system.start_engine(name, 'thrissur-a', (0, 6))
        placement = {'load_bytes_per_s': 1e12}
        entry = system.start_entry('entry-1', 'thrissur-a', placement=placement)
        system.publish(configuration(), 0, 'entry-1')
        deadline = time.monotonic() + WAIT_S
        while request_completion(entry.address, 'hello', 4).status != 200:
            assert time.monotonic() < deadline, entry.log_text()
            time.sleep(0.5)
        events = call(entry.address, 'GET', '/timeline').json()
        kinds = {event['event'] for event in events}
    assert {'lease_taken', 'order_sent'} <= kinds
