"""How old the data may be by which an entry in contact serves its callers.

The pattern is a change that operators make while the entry that reads the store
for its zone is in trouble, beside entries that reach the store.
"""

import pytest

from foxtailhatch.router.keyed_log import Topic
from tests.router.entry_network import STORE, EntryNetwork

# Time in which a change has to be known to all entries in contact, less the
# time that a request takes from its caller to the entry.
CHANGE_BOUND_S = 2.0 - 0.05
# Time after trouble within which entries have to be up to date again, less the
# way of a feed response.
CONTACT_S = 3.0 + 0.1
WARM_UP_S = 8.0
OBSERVED_S = 6.0
TICK_S = 0.05
# A tenth of the calls that the store takes a second.
OUTAGE_CALLS_PER_S = 200


@pytest.fixture
def make_network():
    networks = []

    def make(zones, entries_per_zone):
        networks.append(EntryNetwork(zones, entries_per_zone))
        networks[-1].run(WARM_UP_S)
        return networks[-1]

    yield make
    for network in networks:
        network.close()


def cut_from_the_store(network, reader, fed):
    network.cut(reader.name, STORE)


def cut_from_the_store_with_the_next(network, reader, fed):
    network.cut(reader.name, STORE)
    network.cut(min(entry.name for entry in fed), STORE)


def cut_from_all(network, reader, fed):
    network.cut(reader.name, STORE, *network.entries)


def paused(network, reader, fed):
    network.loop.pause(reader.name)


def longest_delays(network, topic, key, watched):
    """Return by how much each entry was behind the store at most.

    A number is written to the topic at each tick.
    """
    longest = dict.fromkeys((entry.name for entry in watched), 0.0)
    written_at = [network.loop.now]
    base = len(network.store.topics[topic]) + 1
    for tick in range(int(OBSERVED_S / TICK_S)):
        network.store.write(topic, key, b'%d' % (base + tick))
        written_at.append(network.loop.now)
        network.run(TICK_S)
        now = network.loop.now
        for entry in watched:
            known = max(0, entry.newest(topic) - base + 1)
            missed = written_at[known + 1 : known + 2]
            behind_s = now - missed[0] if missed else 0
            longest[entry.name] = max(longest[entry.name], behind_s)
    return longest


# Guards against requests that are handled by a configuration, or sent to
# endpoints of a list, that others have replaced more than two seconds ago.
@pytest.mark.parametrize(
    ('topic', 'key'),
    [(Topic.CONFIGURATION, 'config'), (Topic.ENDPOINTS, 'counter')],
)
@pytest.mark.parametrize(
    'trouble',
    [
        cut_from_the_store,
        cut_from_the_store_with_the_next,
        cut_from_all,
        paused,
    ],
)
def test_entries_in_contact_know_changes_in_time(
    make_network, trouble, topic, key
):
    behind = {}
    for moment in range(5):
        network = make_network(zones=2, entries_per_zone=4)
        network.run(0.19 * moment)
        reader = network.entries['z0-e00']
        fed = [
            entry
            for entry in network.entries.values()
            if entry.zone == reader.zone and entry is not reader
        ]
        assert reader.state_sync.reads_store
        trouble(network, reader, fed)
        watched = [
            entry
            for entry in network.entries.values()
            if entry is not reader and not network.is_cut(entry.name, STORE)
        ]
        delays = longest_delays(network, topic, key, watched)
        behind[moment] = max(delays.values())
    assert max(behind.values()) <= CHANGE_BOUND_S, behind


# Guards against reports that are unknown long after all connections were lost.
@pytest.mark.parametrize('moment', range(10))
def test_reports_are_known_soon_after_connections_went_silent(
    make_network, moment
):
    network = make_network(zones=2, entries_per_zone=4)
    network.run(0.43 * moment)
    network.silence_calls()
    network.store.write(Topic.OBSERVATIONS, 'counter', b'7')
    network.run(CONTACT_S)
    known = {
        name: entry.newest(Topic.OBSERVATIONS)
        for name, entry in network.entries.items()
    }
    assert set(known.values()) == {7}


# Guards against entries that give up the store before they have read it.
@pytest.mark.parametrize('outage_s', [2.5, 5.7, 8.9])
@pytest.mark.parametrize('gone', [[], ['z0-e00'], ['z0-e00', 'z0-e01']])
def test_changes_are_known_soon_after_an_outage(make_network, outage_s, gone):
    network = make_network(zones=2, entries_per_zone=3)
    for name in network.entries:
        network.cut(name, STORE)
    for name in gone:
        network.loop.pause(name)
    network.run(outage_s)
    for name in network.entries:
        network.restore(name, STORE)
    network.store.write(Topic.CONFIGURATION, 'config', b'7')
    network.run(CONTACT_S)
    known = {
        name: entry.newest(Topic.CONFIGURATION)
        for name, entry in network.entries.items()
        if name not in gone
    }
    assert set(known.values()) == {7}, known


def calls_per_second(network, seconds):
    before = len(network.store.calls)
    network.run(seconds)
    return (len(network.store.calls) - before) / seconds


# Guards against entries that all turn to a store that is in trouble already.
def test_calls_in_an_outage_are_few_at_many_entries(make_network):
    network = make_network(zones=5, entries_per_zone=39)
    for name in network.entries:
        network.cut(name, STORE)
    assert calls_per_second(network, 10) <= OUTAGE_CALLS_PER_S


# Guards against a price of shared data that grows with the entries of a zone.
def test_calls_to_a_sound_store_do_not_grow_with_the_entries(make_network):
    few = calls_per_second(make_network(zones=3, entries_per_zone=3), 10)
    many = calls_per_second(make_network(zones=3, entries_per_zone=12), 10)
    assert many <= 1.1 * few
