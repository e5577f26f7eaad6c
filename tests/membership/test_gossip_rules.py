from dataclasses import replace

from foxtailhatch.core import Address
from foxtailhatch.membership import (
    Digest,
    EntryState,
    Gossip,
    Liveness,
    RequestConfiguration,
    RequestedReply,
    SendDigest,
    Suspicion,
)
from tests.membership.entry_values import entry, gossip_for

SEED = Address('10.0.0.9', 90)


def digest_sends(actions):
    return [one for one in actions if isinstance(one, SendDigest)]


def configuration_requests(actions):
    return [one for one in actions if isinstance(one, RequestConfiguration)]


def node_with(*peers, seeds=()):
    node = gossip_for(entry('own'), seeds)
    for peer in peers:
        node.receive(Digest(peer), 0.0)
    return node


def run(node, start, seconds):
    """Tick four times a second, and return what was sent."""
    sent = []
    for quarter in range(seconds * 4):
        sent.extend(digest_sends(node.tick(start + quarter / 4)))
    return sent


def declare_dead(node, *peers):
    for peer in peers:
        node.table.suspect(peer.name, peer.incarnation, 0.0)
    node.table.expire(20.0)


def test_new_entry_requests_all_entries_from_a_seed():
    first = digest_sends(gossip_for(entry('own'), [SEED]).tick(0.0))
    assert [(one.address, one.digest.requested_reply) for one in first] == [
        (SEED, RequestedReply.ALL_ENTRIES),
    ]


def test_exchange_is_retried_on_a_new_connection_before_suspicion():
    peer = entry('peer')
    node = node_with(peer)
    node.tick(0.1)
    second = digest_sends(node.tick(2.5))
    assert [send.reconnect for send in second if send.reconnect] == [True]
    assert node.table.record('peer').liveness is Liveness.ALIVE
    node.tick(5.0)
    assert node.table.record('peer').liveness is Liveness.SUSPECT


def test_peer_that_answers_on_a_new_connection_is_not_suspected():
    peer = entry('peer')
    node = node_with(peer)
    for tenth in range(600):
        now = tenth / 10
        if any(one.reconnect for one in digest_sends(node.tick(now))):
            node.receive(Digest(peer), now)
    assert node.table.record('peer').liveness is Liveness.ALIVE


def test_refused_connection_causes_suspicion_immediately():
    peer = entry('peer')
    node = node_with(peer)
    node.tick(0.1)
    changes = node.handle_unreachable(peer.peer_address, 0.2)
    assert [change.liveness for change in changes] == [Liveness.SUSPECT]


def test_configuration_requests_are_rate_limited():
    node = node_with()
    newer = Digest(entry('peer', configuration_version=5))
    asked = [
        configuration_requests(node.receive(newer, now))
        for now in (0.0, 0.1, 4.0)
    ]
    assert [len(one) for one in asked] == [1, 0, 1]


def test_newer_configuration_is_requested_at_once_after_an_update():
    node = node_with()
    node.receive(Digest(entry('peer', configuration_version=5)), 0.0)
    node.table.update_own(configuration_version=5)
    node.tick(0.1)
    newest = Digest(entry('peer', heartbeat=1, configuration_version=6))
    assert len(configuration_requests(node.receive(newest, 0.2))) == 1


def test_received_stop_is_forwarded_to_all_partners_at_once():
    peers = [entry(f'peer-{number}') for number in range(4)]
    node = node_with(*peers)
    run(node, 0.0, 2)
    stopping = replace(peers[0], heartbeat=1, state=EntryState.STOPPING)
    node.receive(Digest(peers[1], entries=(stopping,)), 2.0)
    sent = digest_sends(node.tick(2.0))
    notified = [one.address for one in sent if stopping in one.digest.entries]
    assert len(set(notified)) >= 3


def test_dead_peer_gets_its_suspicion_even_without_requesting_a_reply():
    peer = entry('peer')
    node = node_with(peer)
    declare_dead(node, peer)
    answers = digest_sends(node.receive(Digest(peer), 21.0))
    doubts = [one.digest.suspicions for one in answers]
    assert doubts == [(Suspicion('peer', 0),)]


def test_peer_that_lists_a_dead_entry_gets_the_suspicion():
    dead, peer = entry('dead'), entry('peer')
    node = node_with(dead, peer)
    declare_dead(node, dead)
    stale = Digest(peer, requested_reply=RequestedReply.DIGEST, entries=(dead,))
    answer = digest_sends(node.receive(stale, 21.0))[0]
    assert Suspicion('dead', 0) in answer.digest.suspicions


def digests_sent_to_dead(dead_count, alive_count):
    dead = [entry(f'dead-{number}') for number in range(dead_count)]
    alive = [entry(f'alive-{number}') for number in range(alive_count)]
    node = node_with(*dead, *alive)
    declare_dead(node, *dead)
    addresses = {one.peer_address for one in dead}
    sent = run(node, 20.0, 60)
    return sum(one.address in addresses for one in sent)


def test_dead_entries_are_contacted_more_often_if_they_are_many(
    monkeypatch,
):
    monkeypatch.setattr(Gossip, '_retry_unanswered', lambda self, now: ())
    assert 1 <= digests_sent_to_dead(1, 20) <= 10
    assert digests_sent_to_dead(10, 10) >= 20
