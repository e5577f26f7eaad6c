"""A reader that is cut off from the store while it still feeds its zone."""

import pytest

from foxtailhatch.router.age_limits import AgeLimits
from foxtailhatch.router.feed import FEED_WAIT_S
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.source_selector import SourceSelector
from foxtailhatch.router.state_sync import WAITS_S
from tests.router.fakes import SETTINGS
from tests.router.test_entry_table import entry
from tests.router.test_source_selector import table_of_fed_entries

# Time in which a configuration has to be in force at entries in contact.
CONFIGURATION_BOUND_S = 2.0
READ_S = 0.02


def time_to_read_elsewhere(name, others):
    """Return when a fed entry of the cut reader reads the store itself.

    The reader has last confirmed its data when it was cut off, at zero.
    """
    reader = entry('reader', cpu_cores=2.0)
    table = table_of_fed_entries(reader, *map(entry, others))
    selector = SourceSelector(entry(name))
    limits = AgeLimits.of(SETTINGS.bounds)
    now = 0.0
    while now < 10:
        source = selector.select(table, now)
        if source.is_store:
            return now + READ_S
        due_s = limits.next_check_s(now, is_reader=False)
        if due_s <= FEED_WAIT_S and selector.may_catch_up(now):
            return now + max(due_s, 0) + READ_S
        now += FEED_WAIT_S if source.peer else READ_S
        if source.peer is not None and now > limits.fed_s:
            selector.peer_outdated(
                source.peer.name, now, reads_store=source.peer == reader
            )
    return now


# Guards against an old configuration at entries that can reach the store.
@pytest.mark.parametrize('name', ['a', 'b'])
def test_entries_leave_a_reader_that_is_cut_off_in_time(name):
    longest = time_to_read_elsewhere(name, ['a', 'b'])
    assert longest <= CONFIGURATION_BOUND_S


def test_wait_of_a_read_leaves_time_for_a_feed_response():
    waits_s = WAITS_S[Topic.CONFIGURATION] + FEED_WAIT_S
    assert waits_s + READ_S <= CONFIGURATION_BOUND_S
