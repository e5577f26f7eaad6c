"""Lines about the copies of layers, for operators."""

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.coverage import ServedLayers, ServingEngine
from foxtailhatch.router.copy_watch import WATCH_PERIOD_S, CopyWatch
from tests.relay.fakes import ListLog
from tests.router.test_placement_steps import settled_pool


def served(end):
    held = ServingEngine('e1', 'z1', LayerRange(0, end))
    return ServedLayers((held,), layer_count=4)


def test_line_tells_how_long_a_zone_lacked_a_layer():
    log = ListLog()
    watch = CopyWatch(log)
    watch.observe('model', served(4), 1)
    watch.observe('model', served(3), 2)
    watch.observe('model', served(3), 3)
    watch.observe('model', served(4), 4.5)
    lines = log.of('layer_copies')
    assert [line['least'] for line in lines] == [1, 0, 1]
    assert [line['without_s'] for line in lines] == [0, 0, 2.5]


def test_layers_are_looked_at_from_time_to_time():
    watch = CopyWatch(ListLog())
    assert watch.is_due('model', 1)
    assert not watch.is_due('model', 1.1)
    assert watch.is_due('model', 1 + WATCH_PERIOD_S)


def test_holder_reports_a_zone_that_loses_layers():
    pool, entry = settled_pool({'middle': 8, 'small': 5})
    pool.leave('z1-middle2')
    pool.run(12)
    lines = entry.log.of('layer_copies')
    assert {line['zone'] for line in lines} == {'z1'}
    assert any(line['without_s'] > 0 for line in lines)
