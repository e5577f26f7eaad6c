"""Reports of demand stay within what an entry may spend on control.

The bounds are on bytes and on calls of the package's functions, which do not
depend on the machine.  ``python -m tests.router.demand_cost`` prints processor
times.
"""

import sys

import pytest

from foxtailhatch import router
from foxtailhatch.router.demand_messages import MAX_SENT_BYTES
from tests.router.demand_cost import (
    ACCOUNTS,
    SIZES,
    Zone,
    bytes_per_s,
    message_bytes,
)

# For all control of an entry, of which the lists in heartbeats take the most.
CONTROL_BYTES_PER_S = 6000
PACKAGE = router.__path__[0].removesuffix('router')


def calls_of(function):
    """Return how many functions of the package are called."""
    calls = 0

    def count(frame, event, _):
        nonlocal calls
        is_call = event == 'call'
        calls += is_call and frame.f_code.co_filename.startswith(PACKAGE)

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls


# Guards against messages that grow with the number of entries or accounts.
@pytest.mark.parametrize('accounts', ACCOUNTS)
@pytest.mark.parametrize(('entries', 'zones'), SIZES.items())
def test_messages_are_small_at_each_size(entries, zones, accounts):
    sizes = message_bytes(entries, zones, accounts)
    assert max(sizes) <= MAX_SENT_BYTES
    assert bytes_per_s(zones, *sizes) <= 0.4 * CONTROL_BYTES_PER_S


# Guards against a response that takes time for each entry: a reader sends some 90
# a second to 45 entries.
def test_cost_of_a_response_does_not_grow_with_the_entries():
    zone = Zone(360, 8, 580)
    zone.respond()
    assert calls_of(zone.respond) <= 20
    assert calls_of(zone.receive) <= 80


# Guards against sums whose cost grows faster than the number of entries.
def test_cost_of_the_sums_grows_no_faster_than_the_entries():
    small, large = Zone(91, 3, 580), Zone(360, 8, 580)
    assert calls_of(large.add_up) <= 360 / 91 * calls_of(small.add_up)
