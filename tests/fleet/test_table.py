from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState, EndpointTable
from foxtailhatch.fleet.observed_layers import LIST_LAG_S, RELEASE_MAX_S
from foxtailhatch.fleet.table import (
    FAILURE_BACKOFF_S,
    LAPSE_GRACE_S,
    REFUSAL_BACKOFF_MAX_S,
    REFUSAL_BACKOFF_S,
    REVIVAL_DELAY_S,
)
from tests.fleet.endpoints import endpoint


def names(table, now=0.0):
    return [one.name for one in table.usable('plain', now)]


def table_of(*endpoints):
    table = EndpointTable()
    for one in endpoints:
        table.put(one, 0)
    return table


def test_ready_endpoint_is_usable():
    assert names(table_of(endpoint('e1'))) == ['e1']


def test_leaving_endpoint_gets_no_new_work():
    leaving = endpoint('e1', state=EndpointState.DRAINING)
    table = table_of(endpoint('e1'), leaving)
    assert names(table) == []
    assert not table.accepts_work(leaving)


def test_leaving_stays_binding_when_an_older_record_is_read_again():
    table = table_of(
        endpoint('e1', state=EndpointState.DRAINING),
        endpoint('e1'),
    )
    assert names(table) == []


def test_next_incarnation_under_the_name_gets_work():
    table = table_of(
        endpoint('e1', state=EndpointState.DRAINING),
        endpoint('e1', incarnation=2),
    )
    assert names(table) == ['e1']


def test_suspect_comes_back_after_a_time():
    table = table_of(endpoint('e1'))
    table.record_failure('e1', 5)
    assert names(table, 5 + FAILURE_BACKOFF_S / 2) == []
    assert names(table, 5 + FAILURE_BACKOFF_S) == ['e1']


def test_suspicion_grows_with_failures_in_a_row_and_ends_with_success():
    table = table_of(endpoint('e1'))
    first = table.record_failure('e1', 0)
    second = table.record_failure('e1', first)
    assert second - first > first
    table.clear_failures('e1')
    assert names(table, first) == ['e1']


def test_dead_until_a_record_that_was_written_after_the_death():
    table = table_of(endpoint('e1'))
    table.mark_dead('e1', 1, 10)
    table.put(endpoint('e1'), 10 + REVIVAL_DELAY_S / 2)
    assert names(table, 11) == []
    table.put(endpoint('e1'), 10 + REVIVAL_DELAY_S + 0.1)
    assert names(table, 13) == ['e1']


def test_death_of_an_earlier_incarnation_does_not_count():
    table = table_of(endpoint('e1', incarnation=2))
    assert not table.mark_dead('e1', 1, 10)
    assert names(table, 10) == ['e1']


def test_lapsed_endpoint_stays_usable_for_the_grace():
    table = table_of(endpoint('e1'))
    table.mark_lapsed('e1', 10)
    assert table.remove_lapsed(10 + LAPSE_GRACE_S / 2) == []
    assert names(table, 11) == ['e1']
    assert table.remove_lapsed(10 + LAPSE_GRACE_S) == ['e1']
    assert names(table, 12) == []


def test_lapsed_endpoint_that_is_back_stays():
    table = table_of(endpoint('e1'))
    table.mark_lapsed('e1', 10)
    table.put(endpoint('e1'), 11)
    assert table.remove_lapsed(20) == []


def test_layers_found_by_another_entry_count_before_the_list_says_so():
    table = table_of(endpoint('e1'))
    assert table.set_observed_layers('e1', 1, LayerRange(0, 4), 10)
    assert table.get('e1').layers == LayerRange(0, 4)
    assert not table.set_observed_layers('e1', 2, LayerRange(0, 5), 10)


def test_list_that_lags_does_not_undo_what_was_found():
    table = table_of(endpoint('e1'))
    table.set_observed_layers('e1', 1, LayerRange(0, 4), 10)
    table.put(endpoint('e1', layers=(0, 2)), 10 + LIST_LAG_S / 2)
    assert table.get('e1').layers == LayerRange(0, 4)
    table.put(endpoint('e1', layers=(0, 2)), 10 + LIST_LAG_S)
    assert table.get('e1').layers == LayerRange(0, 2)


def test_next_incarnation_holds_what_it_says():
    table = table_of(endpoint('e1'))
    table.set_observed_layers('e1', 1, LayerRange(0, 4), 10)
    table.put(endpoint('e1', incarnation=2), 11)
    assert table.get('e1').layers is None


def test_newest_incarnation_at_a_reused_address():
    old = endpoint('e1', address='10.0.0.1:80', incarnation=1)
    new = endpoint('e2', address='10.0.0.1:80', incarnation=2)
    assert table_of(new, old).by_address('10.0.0.1:80').name == 'e2'


def test_layers_that_are_given_up_stay_out_while_the_list_has_them():
    """Streams pass on for seconds through layers that take nothing new."""
    table = table_of(endpoint('e1', layers=(16, 19)))
    table.set_observed_layers('e1', 1, LayerRange(17, 19), 10)
    later = 10 + LIST_LAG_S + 1
    table.put(endpoint('e1', layers=(16, 19)), later)
    assert table.get('e1').layers == LayerRange(17, 19)
    table.put(endpoint('e1', layers=(16, 19)), 10 + RELEASE_MAX_S)
    assert table.get('e1').layers == LayerRange(16, 19)


def test_list_that_has_changed_since_is_believed():
    table = table_of(endpoint('e1', layers=(16, 19)))
    table.set_observed_layers('e1', 1, LayerRange(17, 19), 10)
    later = 10 + LIST_LAG_S + 1
    table.put(endpoint('e1', layers=(17, 21)), later)
    assert table.get('e1').layers == LayerRange(17, 21)


def test_endpoint_that_refuses_again_rests_longer():
    table = table_of(endpoint('e1'))
    first = table.record_refusal('e1', 10)
    assert first == 10 + REFUSAL_BACKOFF_S
    second = table.record_refusal('e1', first)
    assert second == first + 2 * REFUSAL_BACKOFF_S
    third = table.record_refusal('e1', second)
    assert table.record_refusal('e1', third) == third + REFUSAL_BACKOFF_MAX_S


def test_refusals_far_apart_or_beside_answers_do_not_add_up():
    table = table_of(endpoint('e1'))
    until = table.record_refusal('e1', 10)
    later = until + REFUSAL_BACKOFF_MAX_S + 1
    assert table.record_refusal('e1', later) == later + REFUSAL_BACKOFF_S
    table.clear_failures('e1')
    assert table.record_refusal('e1', later) == later + REFUSAL_BACKOFF_S
