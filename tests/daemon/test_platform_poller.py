"""Load reports are requested from engines only."""

from tests.faults.entry import TestEntry
from tests.faults.simulation import ZONES, Simulation


def test_ejected_plain_service_is_not_probed_by_load_report():
    sim = Simulation()
    entry = TestEntry(sim, 0, ZONES[0])
    entry.start()

    def fail():
        for _ in range(3):
            entry.components.endpoint_monitor.record_failure('desk-1')

    sim.loop.call_later(2, fail)
    sim.loop.call_later(8, sim.loop.stop)
    sim.loop.run_forever()
    assert entry.board.health.ejected_count() == 1
    assert entry.loop_failures() == []
