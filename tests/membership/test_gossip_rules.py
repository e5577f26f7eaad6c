from dataclasses import replace

from foxtailhatch.core import Address
from foxtailhatch.membership import (
    Digest,
    EntryState,
    Gossip,
    Liveness,
    RequestConfiguration,
    SendDigest,
    Suspicion,
    Want,
)
from tests.membership.entry_values import entry, gossip_of

SEED = Address('10.0.0.9', 90)


def sends(actions):
    return [one for one in actions if isinstance(one, SendDigest)]


def asks(actions):
    return [one for one in actions if isinstance(one, RequestConfiguration)]


def node_with(*peers, seeds=()):
    node = gossip_of(entry('own'), seeds)
    for peer in peers:
        node.receive(Digest(peer), 0.0)
    return node


def run(node, start, seconds):
    """Tick four times a second, and return what was sent."""
    sent = []
    for quarter in range(seconds * 4):
        sent.extend(sends(node.tick(start + quarter / 4)))
    return sent


def bury(node, *peers):
    for peer in peers:
        node.table.suspect(peer.name, peer.incarnation, 0.0)
    node.table.expire(20.0)


def test_a_newcomer_asks_a_seed_for_everything():
    first = sends(gossip_of(entry('own'), [SEED]).tick(0.0))
    assert [(one.address, one.digest.want) for one in first] == [
        (SEED, Want.EVERYTHING),
    ]


def test_an_unanswered_exchange_is_tried_on_a_fresh_link_before_suspicion():
    peer = entry('peer')
    node = node_with(peer)
    node.tick(0.1)
    second = sends(node.tick(2.5))
    assert [send.reconnect for send in second if send.reconnect] == [True]
    assert node.table.record('peer').liveness is Liveness.ALIVE
    node.tick(5.0)
    assert node.table.record('peer').liveness is Liveness.SUSPECT


def test_a_silent_link_that_a_fresh_one_replaces_brings_no_suspicion():
    peer = entry('peer')
    node = node_with(peer)
    for tenth in range(600):
        now = tenth / 10
        if any(one.reconnect for one in sends(node.tick(now))):
            node.receive(Digest(peer), now)
    assert node.table.record('peer').liveness is Liveness.ALIVE


def test_a_refused_connection_brings_suspicion_at_once():
    peer = entry('peer')
    node = node_with(peer)
    node.tick(0.1)
    changes = node.handle_unreachable(peer.peer_address, 0.2)
    assert [change.liveness for change in changes] == [Liveness.SUSPECT]


def test_one_peer_is_asked_for_a_newer_configuration_at_a_time():
    node = node_with()
    newer = Digest(entry('peer', configuration_version=5))
    asked = [asks(node.receive(newer, now)) for now in (0.0, 0.1, 4.0)]
    assert [len(one) for one in asked] == [1, 0, 1]


def test_once_a_configuration_came_a_newer_one_is_asked_for_at_once():
    node = node_with()
    node.receive(Digest(entry('peer', configuration_version=5)), 0.0)
    node.table.update_own(configuration_version=5)
    node.tick(0.1)
    newest = Digest(entry('peer', heartbeat=1, configuration_version=6))
    assert len(asks(node.receive(newest, 0.2))) == 1


def test_a_stop_that_is_heard_is_passed_on_to_all_partners_at_once():
    peers = [entry(f'peer-{number}') for number in range(4)]
    node = node_with(*peers)
    run(node, 0.0, 2)
    stopping = replace(peers[0], heartbeat=1, state=EntryState.STOPPING)
    node.receive(Digest(peers[1], entries=(stopping,)), 2.0)
    sent = sends(node.tick(2.0))
    told = [one.address for one in sent if stopping in one.digest.entries]
    assert len(set(told)) >= 3


def test_a_peer_thought_dead_is_told_so_even_if_it_wants_no_answer():
    peer = entry('peer')
    node = node_with(peer)
    bury(node, peer)
    answers = sends(node.receive(Digest(peer), 21.0))
    doubts = [one.digest.suspicions for one in answers]
    assert doubts == [(Suspicion('peer', 0),)]


def test_a_peer_that_passes_on_a_dead_entry_is_told_of_the_suspicion():
    dead, peer = entry('dead'), entry('peer')
    node = node_with(dead, peer)
    bury(node, dead)
    stale = Digest(peer, want=Want.ANSWER, entries=(dead,))
    answer = sends(node.receive(stale, 21.0))[0]
    assert Suspicion('dead', 0) in answer.digest.suspicions


def knocks_at_the_dead(dead_count, alive_count):
    dead = [entry(f'dead-{number}') for number in range(dead_count)]
    alive = [entry(f'alive-{number}') for number in range(alive_count)]
    node = node_with(*dead, *alive)
    bury(node, *dead)
    addresses = {one.peer_address for one in dead}
    sent = run(node, 20.0, 60)
    return sum(one.address in addresses for one in sent)


def test_the_dead_are_knocked_at_rarely_but_often_if_they_are_many(
    monkeypatch,
):
    monkeypatch.setattr(Gossip, '_retry_unanswered', lambda self, now: ())
    assert 1 <= knocks_at_the_dead(1, 20) <= 10
    assert knocks_at_the_dead(10, 10) >= 20
