"""Load reports are requested from engines only."""

from tests.faults.entry import TestEntry
from tests.faults.world import ZONES, World


def test_ejected_plain_service_is_not_probed_by_load_report():
    world = World()
    entry = TestEntry(world, 0, ZONES[0])
    entry.start()

    def fail():
        for _ in range(3):
            entry.parts.endpoint_monitor.record_failure('desk-1')

    world.loop.call_later(2, fail)
    world.loop.call_later(8, world.loop.stop)
    world.loop.run_forever()
    assert entry.board.health.ejected_count() == 1
    assert entry.failures() == []
