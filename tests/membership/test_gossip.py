import pytest

from bench.virtual_mesh import PORT, build, known_counts, place_of
from foxtailhatch.core import Address
from foxtailhatch.membership import EntryState, Liveness, gossip
from foxtailhatch.membership import composer as composer_module
from foxtailhatch.membership.strangers import Strangers


def settled(count=24, seed=1, zones=4, regions=2, seconds=60):
    mesh = build(count, seed, zones, regions)
    mesh.run(seconds)
    assert min(known_counts(mesh)) == count
    return mesh


def nodes_of(mesh):
    return list(mesh.nodes.values())


def in_zone(mesh, zone):
    return [
        node
        for node in nodes_of(mesh)
        if node.table.own.availability_zone == zone
    ]


def thought(mesh, name):
    records = (node.table.record(name) for node in nodes_of(mesh))
    return {record.liveness for record in records if record}


def test_entries_that_start_together_find_each_other():
    mesh = build(9, seed=3, zones=3, regions=1)
    reached = mesh.run_until(lambda: min(known_counts(mesh)) == 9, 30.0)
    assert reached < 30.0


def test_an_entry_with_empty_memory_is_useful_within_seconds():
    mesh = settled()
    seeds = [Address('10.9.9.9', PORT), next(iter(mesh.nodes))]
    newcomer = mesh.add('newcomer', place_of(0, 4, 2), seeds)
    took = mesh.run_until(lambda: newcomer.table.count() == 25, 30.0)
    assert took <= 3.0
    advice = newcomer.table.advise('zone-0', mesh.now)
    assert len(advice.addresses) == 4


def test_a_leave_of_an_endpoint_is_known_everywhere_within_its_bound():
    mesh = settled()
    first = nodes_of(mesh)[0]
    first.announce_endpoint_leaving('gpu-1', mesh.now)
    others = list(mesh.heard.values())[1:]
    assert mesh.run_until(lambda: all(others), 30.0) <= 3.0
    assert {len(heard) for heard in others} == {1}
    learned = [heard[0].observed_at for heard in others]
    assert all(60.0 <= observed_at < 61.0 for observed_at in learned)


def test_without_eager_digests_a_leave_takes_longer_than_its_bound(monkeypatch):
    monkeypatch.setattr(
        gossip.Gossip, '_send_eagerly', lambda self, now: iter(())
    )
    mesh = settled()
    nodes_of(mesh)[0].announce_endpoint_leaving('gpu-1', mesh.now)
    others = list(mesh.heard.values())[1:]
    assert mesh.run_until(lambda: all(others), 30.0) > 3.0


def test_a_configuration_version_is_fetched_everywhere_within_its_bound():
    mesh = settled()
    nodes_of(mesh)[0].table.update_own(configuration_version=7)
    owns = [node.table for node in nodes_of(mesh)]
    took = mesh.run_until(
        lambda: all(table.own.configuration_version == 7 for table in owns),
        60.0,
    )
    assert took < 18.0


def test_a_stopping_entry_leaves_all_advice_in_the_margin_of_the_stop():
    mesh = settled()
    stopping, *others = nodes_of(mesh)
    stopping.table.update_own(state=EntryState.LEAVING)
    address = str(stopping.table.own.caller_address)
    took = mesh.run_until(
        lambda: all(
            address not in node.table.advise('zone-0', mesh.now).addresses
            for node in others
        ),
        60.0,
    )
    assert took < 10.0


def test_a_zone_that_vanishes_leaves_the_others_with_each_other():
    mesh = settled()
    lost = in_zone(mesh, 'zone-1')
    mesh.kill(lost)
    mesh.run(60)
    assert set(known_counts(mesh)) == {24 - len(lost)}
    advice = nodes_of(mesh)[0].table.advise('zone-1', mesh.now)
    gone = {str(node.table.own.caller_address) for node in lost}
    assert advice.addresses and not gone & set(advice.addresses)


def test_a_rack_that_vanishes_is_noticed_while_the_rest_serves_on():
    mesh = settled()
    mesh.kill(in_zone(mesh, 'zone-2')[:3])
    mesh.run(60)
    assert set(known_counts(mesh)) == {21}


def test_a_suspected_entry_that_lives_refutes():
    mesh = settled()
    doubter, doubted, *_ = nodes_of(mesh)
    own = doubted.table.own
    doubter.table.suspect(own.name, own.incarnation, mesh.now)
    doubter._composer.add_suspicion(own)
    mesh.run(30)
    assert doubted.table.own.incarnation > own.incarnation
    assert thought(mesh, own.name) == {Liveness.ALIVE}


def test_without_refutation_a_living_entry_is_buried(monkeypatch):
    mesh = settled()
    doubter, doubted, *_ = nodes_of(mesh)
    monkeypatch.setattr(
        type(doubted.table), 'refute', lambda self, claim: False
    )
    own = doubted.table.own
    doubter.table.suspect(own.name, own.incarnation, mesh.now)
    doubter._composer.add_suspicion(own)
    mesh.run(30)
    assert Liveness.DEAD in thought(mesh, own.name)


def test_regions_that_lost_each_other_for_an_hour_find_each_other_again():
    mesh = settled(count=8, regions=2)
    mesh.is_cut = lambda one, other: one.region != other.region
    mesh.run(3600)
    assert set(known_counts(mesh)) == {4}
    mesh.is_cut = lambda one, other: False
    assert mesh.run_until(lambda: min(known_counts(mesh)) == 8, 300) < 120


def test_without_knocking_at_the_dead_regions_stay_apart(monkeypatch):
    mesh = settled(count=8, regions=2)
    mesh.is_cut = lambda one, other: one.region != other.region
    mesh.run(60)
    monkeypatch.setattr(Strangers, 'addresses', lambda self, round_number: [])
    mesh.is_cut = lambda one, other: False
    mesh.run(120)
    assert set(known_counts(mesh)) == {4}


def test_an_entry_behind_by_far_asks_for_everything(monkeypatch):
    def cold_start_s():
        mesh = build(40, seed=1, zones=4, regions=2)
        most = 0.9 * 40
        return mesh.run_until(lambda: min(known_counts(mesh)) >= most, 120.0)

    with_sync = cold_start_s()
    monkeypatch.setattr(gossip.Gossip, '_sync', lambda self, digest, now: ())
    assert with_sync <= 15.0 < cold_start_s()


def test_entries_replaced_at_a_high_rate_stay_known():
    mesh = settled(count=12)
    seeds = list(mesh.nodes)[:3]
    for number in range(20):
        oldest = nodes_of(mesh)[3]
        mesh.kill([oldest])
        mesh.add(f'late-{number}', place_of(number, 4, 2), seeds)
        mesh.run(10)
    mesh.run(60)
    assert set(known_counts(mesh)) == {12}


@pytest.mark.parametrize('count', [9, 40])
def test_a_digest_stays_bounded_however_much_is_new(count):
    mesh = settled(count=count, zones=3, regions=1)
    sizes = []

    def carry(digest):
        sizes.append((len(digest.entries), len(digest.suspicions)))
        return digest

    mesh.carry = carry
    mesh.kill(nodes_of(mesh)[4:])
    mesh.run(20)
    bound = composer_module.ENTRIES_MAX
    syncs = sum(entries > bound for entries, _ in sizes)
    assert syncs <= 4 * (1 + 20 / gossip.SYNC_FAR_GAP_S)
    assert max(doubts for _, doubts in sizes) <= composer_module.SUSPICIONS_MAX


def test_the_messages_of_an_entry_do_not_grow_with_the_members():
    def messages_each(count):
        mesh = settled(count=count, zones=3, regions=1)
        before = mesh.sent_count
        mesh.run(20)
        return (mesh.sent_count - before) / count

    assert messages_each(36) < 1.25 * messages_each(9)
