from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState, EndpointTable
from foxtailhatch.fleet.observed_layers import LIST_LAG_S, RELEASE_MAX_S
from foxtailhatch.fleet.table import (
    FAILURE_BACKOFF_S,
    REFUSAL_BACKOFF_MAX_S,
    REFUSAL_BACKOFF_S,
    REVIVAL_DELAY_S,
)
from tests.fleet.endpoints import endpoint


def names(table, now=0.0):
    return [endpoint.name for endpoint in table.usable('plain', now)]


def table_of(*endpoints):
    table = EndpointTable()
    for one in endpoints:
        table.put(one, 0)
    return table


def test_ready_endpoint_is_usable():
    assert names(table_of(endpoint('e1'))) == ['e1']


def test_draining_endpoint_gets_no_new_requests():
    draining = endpoint('e1', state=EndpointState.DRAINING)
    table = table_of(endpoint('e1'), draining)
    assert names(table) == []
    assert not table.accepts_work(draining)


def test_draining_persists_after_an_older_record():
    table = table_of(
        endpoint('e1', state=EndpointState.DRAINING),
        endpoint('e1'),
    )
    assert names(table) == []


def test_next_incarnation_gets_requests():
    table = table_of(
        endpoint('e1', state=EndpointState.DRAINING),
        endpoint('e1', incarnation=2),
    )
    assert names(table) == ['e1']


def test_endpoint_is_usable_after_failure_backoff():
    table = table_of(endpoint('e1'))
    table.record_failure('e1', 5)
    assert names(table, 5 + FAILURE_BACKOFF_S / 2) == []
    assert names(table, 5 + FAILURE_BACKOFF_S) == ['e1']


def test_failure_backoff_grows_and_is_cleared():
    table = table_of(endpoint('e1'))
    first = table.record_failure('e1', 0)
    second = table.record_failure('e1', first)
    assert second - first > first
    table.clear_failures('e1')
    assert names(table, first) == ['e1']


def test_dead_endpoint_revives_with_a_later_record():
    table = table_of(endpoint('e1'))
    table.mark_dead('e1', 1, 10)
    table.put(endpoint('e1'), 10 + REVIVAL_DELAY_S / 2)
    assert names(table, 11) == []
    table.put(endpoint('e1'), 10 + REVIVAL_DELAY_S + 0.1)
    assert names(table, 13) == ['e1']


# Guards against work for a dead endpoint whose old record is read once more, in a
# snapshot: it was not written since.
def test_dead_endpoint_does_not_revive_with_the_record_that_was_known():
    table = table_of(endpoint('e1', heartbeats=7))
    table.mark_dead('e1', 1, 10)
    later = 10 + REVIVAL_DELAY_S + 0.1
    table.put(endpoint('e1', heartbeats=7), later)
    assert names(table, later) == []
    table.put(endpoint('e1', heartbeats=8), later)
    assert names(table, later) == ['e1']


def test_dead_endpoint_revives_with_a_new_incarnation():
    table = table_of(endpoint('e1', heartbeats=7))
    table.mark_dead('e1', 1, 10)
    table.put(endpoint('e1', heartbeats=1, incarnation=2), 10.1)
    assert names(table, 10.1) == ['e1']


def test_death_of_an_earlier_incarnation_is_ignored():
    table = table_of(endpoint('e1', incarnation=2))
    assert not table.mark_dead('e1', 1, 10)
    assert names(table, 10) == ['e1']


def test_lapsed_endpoint_is_usable_until_its_time_is_over():
    table = table_of(endpoint('e1'))
    table.mark_lapsed('e1', 12)
    assert table.remove_lapsed(11) == []
    assert names(table, 11) == ['e1']
    assert table.remove_lapsed(12) == ['e1']
    assert names(table, 12) == []


def test_time_of_a_lapsed_endpoint_is_not_extended():
    table = table_of(endpoint('e1'))
    table.mark_lapsed('e1', 12)
    table.mark_lapsed('e1', 14)
    assert table.remove_lapsed(12) == ['e1']


def test_lapsed_endpoint_that_is_listed_again_stays():
    table = table_of(endpoint('e1'))
    table.mark_lapsed('e1', 12)
    table.put(endpoint('e1'), 11)
    assert table.remove_lapsed(20) == []


def test_observed_layers_apply_before_the_list_shows_them():
    table = table_of(endpoint('e1'))
    assert table.set_observed_layers('e1', 1, LayerRange(0, 4), 10)
    assert table.get('e1').layers == LayerRange(0, 4)
    assert not table.set_observed_layers('e1', 2, LayerRange(0, 5), 10)


def test_lagging_list_does_not_override_observed_layers():
    table = table_of(endpoint('e1'))
    table.set_observed_layers('e1', 1, LayerRange(0, 4), 10)
    table.put(endpoint('e1', layers=(0, 2)), 10 + LIST_LAG_S / 2)
    assert table.get('e1').layers == LayerRange(0, 4)
    table.put(endpoint('e1', layers=(0, 2)), 10 + LIST_LAG_S)
    assert table.get('e1').layers == LayerRange(0, 2)


def test_next_incarnation_has_its_listed_layers():
    table = table_of(endpoint('e1'))
    table.set_observed_layers('e1', 1, LayerRange(0, 4), 10)
    table.put(endpoint('e1', incarnation=2), 11)
    assert table.get('e1').layers is None


def test_reused_address_maps_to_the_newest_incarnation():
    old = endpoint('e1', address='10.0.0.1:80', incarnation=1)
    new = endpoint('e2', address='10.0.0.1:80', incarnation=2)
    assert table_of(new, old).by_address('10.0.0.1:80').name == 'e2'


def test_released_layers_stay_out_while_the_list_shows_them():
    """Streams run for seconds through released layers that refuse new ones."""
    table = table_of(endpoint('e1', layers=(16, 19)))
    table.set_observed_layers('e1', 1, LayerRange(17, 19), 10)
    later = 10 + LIST_LAG_S + 1
    table.put(endpoint('e1', layers=(16, 19)), later)
    assert table.get('e1').layers == LayerRange(17, 19)
    table.put(endpoint('e1', layers=(16, 19)), 10 + RELEASE_MAX_S)
    assert table.get('e1').layers == LayerRange(16, 19)


def test_changed_list_replaces_observed_layers():
    table = table_of(endpoint('e1', layers=(16, 19)))
    table.set_observed_layers('e1', 1, LayerRange(17, 19), 10)
    later = 10 + LIST_LAG_S + 1
    table.put(endpoint('e1', layers=(17, 21)), later)
    assert table.get('e1').layers == LayerRange(17, 21)


def test_refusal_backoff_grows():
    table = table_of(endpoint('e1'))
    first = table.record_refusal('e1', 10)
    assert first == 10 + REFUSAL_BACKOFF_S
    second = table.record_refusal('e1', first)
    assert second == first + 2 * REFUSAL_BACKOFF_S
    third = table.record_refusal('e1', second)
    assert table.record_refusal('e1', third) == third + REFUSAL_BACKOFF_MAX_S


def test_separate_refusals_do_not_accumulate():
    table = table_of(endpoint('e1'))
    until = table.record_refusal('e1', 10)
    later = until + REFUSAL_BACKOFF_MAX_S + 1
    assert table.record_refusal('e1', later) == later + REFUSAL_BACKOFF_S
    table.clear_failures('e1')
    assert table.record_refusal('e1', later) == later + REFUSAL_BACKOFF_S


def test_silent_endpoint_gets_no_work_until_it_is_heard_of():
    table = table_of(endpoint('e1'), endpoint('e2'))
    assert table.mark_silent('e1', 1)
    assert not table.mark_silent('e1', 1)
    assert names(table) == ['e2']
    assert table.is_available(table.get('e1'))
    table.clear_silence('e1')
    assert names(table) == ['e1', 'e2']


def test_silence_ends_with_the_incarnation():
    table = table_of(endpoint('e1'))
    table.mark_silent('e1', 1)
    table.put(endpoint('e1', incarnation=2), 11)
    assert not table.is_lost('e1')
