from random import Random

from bench.virtual_mesh import VirtualMesh, location_of
from foxtailhatch.membership.partners import Partners


def peers_of(zones, regions, count=60):
    mesh = VirtualMesh(seed=1)
    nodes = [
        mesh.add(f'e-{number}', location_of(number, zones, regions), [])
        for number in range(count)
    ]
    own, *others = [node.table.own for node in nodes]
    return own, others


def chosen_partners(zones, regions, count=60):
    own, others = peers_of(zones, regions, count)
    partners = Partners(Random(1))
    partners.refresh(own, others, 0.0)
    by_name = {peer.name: peer for peer in others}
    return own, [by_name[name] for name in partners.names()]


def test_partners_cover_zone_region_and_another_region():
    own, partners = chosen_partners(zones=6, regions=3)
    in_zone = [one for one in partners if one.availability_zone == 'zone-0']
    far = [one for one in partners if one.region != own.region]
    assert (len(partners), len(in_zone), len(far)) == (7, 4, 1)


def test_entry_alone_in_its_zone_has_partners():
    _, partners = chosen_partners(zones=9, regions=9, count=9)
    assert len(partners) == 4


def test_partners_are_rotated_and_used_round_robin():
    own, others = peers_of(6, 3)
    partners = Partners(Random(1))
    seen = set()
    for second in range(600):
        partners.refresh(own, others, float(second))
        seen.add(partners.next_name())
    assert len(partners.names()) == 7
    assert len(seen) > 30


def test_lost_partner_is_replaced():
    own, others = peers_of(1, 1, count=9)
    partners = Partners(Random(1))
    partners.refresh(own, others, 0.0)
    lost = partners.names()[0]
    remaining = [peer for peer in others if peer.name != lost]
    partners.refresh(own, remaining, 1.0)
    assert lost not in partners.names()
    assert len(partners.names()) == 4
