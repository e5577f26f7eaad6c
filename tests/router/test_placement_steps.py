"""Layouts change by steps, none of which takes away the last copy of a layer."""

import pytest

from foxtailhatch.core import LayerRange
from foxtailhatch.router.observations import EndpointObservation
from tests.router.engine_pool import Entry, Pool


def settled_pool(counts, zones=('z1',), **options):
    """Return a pool that has placed all layers, and its only entry."""
    pool = Pool(**options)
    for zone in zones:
        for kind, count in counts.items():
            for number in range(count):
                pool.add(f'{zone}-{kind}{number}', kind, zone)
    entry = Entry(pool)
    entry.hold(1)
    pool.run(20)
    pool.orders.clear()
    pool.ticks_without_chain = 0
    return pool, entry


def leave_each_zone(pool, zones, count):
    """Let engines of each zone leave, with other layers in each of them."""
    for index, zone in enumerate(zones):
        names = [
            known.name
            for known in sorted(
                pool.engines.values(), key=lambda one: str(one.layers)
            )
            if known.zone == zone and known.layers and known.layers.first
        ]
        begin = index * len(names) // len(zones)
        for name in names[begin : begin + count]:
            pool.leave(name)


# Guards against full re-layouts of two zones at once, by which all engines gave
# up what they held while chains across the zones were still complete.
@pytest.mark.parametrize('zones', [('z1', 'z2'), ('z1', 'z2', 'z3')])
@pytest.mark.parametrize(
    'counts',
    [{'middle': 10}, {'middle': 8, 'small': 5}, {'large': 2, 'small': 9}],
)
def test_zones_that_lose_layers_at_once_keep_a_chain(zones, counts):
    pool, _ = settled_pool(counts, zones)
    leave_each_zone(pool, zones, 2)
    pool.run(12)
    assert pool.begun()
    assert pool.faults == []
    assert pool.ticks_without_chain == 0


# Guards against a release that was announced when another engine held the layers
# too, and was sent after that one had given them up for an order of another entry.
def test_announced_release_is_withdrawn_if_the_other_copy_is_gone():
    pool, entry = settled_pool({'large': 2, 'middle': 5, 'small': 8})
    pool.leave('z1-middle2')
    withdrawn = []

    def take_the_other_copy():
        for pending in entry.controller._pending.values():
            if not pending.is_announced or withdrawn:
                continue
            held, kept = pending.endpoint.layers, pending.order.layers
            given_up = set(range(held.first, held.end))
            given_up.difference_update(range(kept.first, kept.end))
            for known in pool.engines.values():
                layers = known.layers
                if known.name == pending.endpoint.name or layers is None:
                    continue
                rest = set(range(layers.first, layers.end)) - given_up
                if rest and len(rest) < len(layers):
                    known.layers = LayerRange(min(rest), max(rest) + 1)
                    entry.publish(
                        EndpointObservation(known.name, 1, False, known.layers)
                    )
                    withdrawn.append(pending.endpoint.name)

    pool.run(12, take_the_other_copy)
    assert withdrawn[0] in {
        line['endpoint'] for line in entry.log.of('order_deferred')
    }
    assert pool.faults == []
