import pytest

from bench.virtual_mesh import PORT, build, location_of, member_counts
from foxtailhatch.core import Address
from foxtailhatch.membership import EntryState, Liveness, digest_builder, gossip
from foxtailhatch.membership.discovery import DiscoveryAddresses


def converged_mesh(count=24, seed=1, zones=4, regions=2, seconds=60):
    mesh = build(count, seed, zones, regions)
    mesh.run(seconds)
    assert min(member_counts(mesh)) == count
    return mesh


def nodes_of(mesh):
    return list(mesh.nodes.values())


def in_zone(mesh, zone):
    return [
        node
        for node in nodes_of(mesh)
        if node.table.own.availability_zone == zone
    ]


def liveness_views(mesh, name):
    records = (node.table.record(name) for node in nodes_of(mesh))
    return {record.liveness for record in records if record}


def test_entries_that_start_together_discover_each_other():
    mesh = build(9, seed=3, zones=3, regions=1)
    reached = mesh.run_until(lambda: min(member_counts(mesh)) == 9, 30.0)
    assert reached < 30.0


def test_new_entry_knows_all_members_within_three_seconds():
    mesh = converged_mesh()
    seeds = [Address('10.9.9.9', PORT), next(iter(mesh.nodes))]
    newcomer = mesh.add('newcomer', location_of(0, 4, 2), seeds)
    elapsed_s = mesh.run_until(lambda: newcomer.table.count() == 25, 30.0)
    assert elapsed_s <= 3.0
    advice = newcomer.table.advise('zone-0', mesh.now)
    assert len(advice.addresses) == 4


def test_endpoint_leave_reaches_all_entries_within_three_seconds():
    mesh = converged_mesh()
    first = nodes_of(mesh)[0]
    first.announce_endpoint_leaving('gpu-1', mesh.now)
    others = list(mesh.received_leaves.values())[1:]
    assert mesh.run_until(lambda: all(others), 30.0) <= 3.0
    assert {len(leaves) for leaves in others} == {1}
    observed_times = [leaves[0].observed_at for leaves in others]
    assert all(60.0 <= observed_at < 61.0 for observed_at in observed_times)


def test_without_urgent_digests_a_leave_takes_longer_than_three_seconds(
    monkeypatch,
):
    monkeypatch.setattr(
        gossip.Gossip, '_send_eagerly', lambda self, now: iter(())
    )
    mesh = converged_mesh()
    nodes_of(mesh)[0].announce_endpoint_leaving('gpu-1', mesh.now)
    others = list(mesh.received_leaves.values())[1:]
    assert mesh.run_until(lambda: all(others), 30.0) > 3.0


def test_configuration_version_reaches_all_entries_within_18_seconds():
    mesh = converged_mesh()
    nodes_of(mesh)[0].table.update_own(configuration_version=7)
    owns = [node.table for node in nodes_of(mesh)]
    elapsed_s = mesh.run_until(
        lambda: all(table.own.configuration_version == 7 for table in owns),
        60.0,
    )
    assert elapsed_s < 18.0


def test_leaving_entry_is_unadvised_everywhere_within_the_stop_margin():
    mesh = converged_mesh()
    stopping, *others = nodes_of(mesh)
    stopping.table.update_own(state=EntryState.LEAVING)
    address = str(stopping.table.own.caller_address)
    elapsed_s = mesh.run_until(
        lambda: all(
            address not in node.table.advise('zone-0', mesh.now).addresses
            for node in others
        ),
        60.0,
    )
    assert elapsed_s < 10.0


def test_loss_of_a_zone_keeps_the_remaining_zones_connected():
    mesh = converged_mesh()
    lost_nodes = in_zone(mesh, 'zone-1')
    mesh.kill(lost_nodes)
    mesh.run(60)
    assert set(member_counts(mesh)) == {24 - len(lost_nodes)}
    advice = nodes_of(mesh)[0].table.advise('zone-1', mesh.now)
    lost_addresses = {str(node.table.own.caller_address) for node in lost_nodes}
    assert advice.addresses and not lost_addresses & set(advice.addresses)


def test_loss_of_three_entries_is_detected_by_all_others():
    mesh = converged_mesh()
    mesh.kill(in_zone(mesh, 'zone-2')[:3])
    mesh.run(60)
    assert set(member_counts(mesh)) == {21}


def test_live_suspect_refutes_the_suspicion():
    mesh = converged_mesh()
    accuser, suspect_node, *_ = nodes_of(mesh)
    own = suspect_node.table.own
    accuser.table.suspect(own.name, own.incarnation, mesh.now)
    accuser._builder.add_suspicion(own)
    mesh.run(30)
    assert suspect_node.table.own.incarnation > own.incarnation
    assert liveness_views(mesh, own.name) == {Liveness.ALIVE}


def test_without_refutation_a_live_entry_is_declared_dead(monkeypatch):
    mesh = converged_mesh()
    accuser, suspect_node, *_ = nodes_of(mesh)
    monkeypatch.setattr(
        type(suspect_node.table), 'refute', lambda self, claim: False
    )
    own = suspect_node.table.own
    accuser.table.suspect(own.name, own.incarnation, mesh.now)
    accuser._builder.add_suspicion(own)
    mesh.run(30)
    assert Liveness.DEAD in liveness_views(mesh, own.name)


def test_regions_reconnect_after_a_partition_of_an_hour():
    mesh = converged_mesh(count=8, regions=2)
    mesh.is_partitioned = lambda one, other: one.region != other.region
    mesh.run(3600)
    assert set(member_counts(mesh)) == {4}
    mesh.is_partitioned = lambda one, other: False
    assert mesh.run_until(lambda: min(member_counts(mesh)) == 8, 300) < 120


def test_without_contacting_dead_entries_regions_stay_partitioned(monkeypatch):
    mesh = converged_mesh(count=8, regions=2)
    mesh.is_partitioned = lambda one, other: one.region != other.region
    mesh.run(60)
    monkeypatch.setattr(
        DiscoveryAddresses, 'addresses', lambda self, round_number: []
    )
    mesh.is_partitioned = lambda one, other: False
    mesh.run(120)
    assert set(member_counts(mesh)) == {4}


def test_full_sync_shortens_a_cold_start(monkeypatch):
    def cold_start_s():
        mesh = build(40, seed=1, zones=4, regions=2)
        most = 0.9 * 40
        return mesh.run_until(lambda: min(member_counts(mesh)) >= most, 120.0)

    with_sync = cold_start_s()
    monkeypatch.setattr(gossip.Gossip, '_sync', lambda self, digest, now: ())
    assert with_sync <= 15.0 < cold_start_s()


def test_membership_stays_complete_under_a_high_replacement_rate():
    mesh = converged_mesh(count=12)
    seeds = list(mesh.nodes)[:3]
    for number in range(20):
        oldest = nodes_of(mesh)[3]
        mesh.kill([oldest])
        mesh.add(f'late-{number}', location_of(number, 4, 2), seeds)
        mesh.run(10)
    mesh.run(60)
    assert set(member_counts(mesh)) == {12}


@pytest.mark.parametrize('count', [9, 40])
def test_digest_size_stays_bounded_under_many_updates(count):
    mesh = converged_mesh(count=count, zones=3, regions=1)
    sizes = []

    def transform(digest):
        sizes.append((len(digest.entries), len(digest.suspicions)))
        return digest

    mesh.transform = transform
    mesh.kill(nodes_of(mesh)[4:])
    mesh.run(20)
    bound = digest_builder.ENTRIES_MAX
    syncs = sum(entries > bound for entries, _ in sizes)
    assert syncs <= 4 * (1 + 20 / gossip.FAR_BEHIND_SYNC_INTERVAL_S)
    assert max(doubts for _, doubts in sizes) <= digest_builder.SUSPICIONS_MAX


def test_message_rate_per_entry_is_independent_of_member_count():
    def messages_each(count):
        mesh = converged_mesh(count=count, zones=3, regions=1)
        before = mesh.sent_count
        mesh.run(20)
        return (mesh.sent_count - before) / count

    assert messages_each(36) < 1.25 * messages_each(9)
