"""When an entry concludes that it is cut off from a service."""

import pytest

from foxtailhatch.fleet.reach import SAMPLE_INTERVAL_S, EndpointReach


def test_failure_after_an_answer_is_cause_for_a_sample():
    reach = EndpointReach()
    reach.record_accepted('model', 'e1', 1.0)
    assert reach.due_for_sample(1.1) == []
    reach.record_failed('model', 1.2)
    assert reach.due_for_sample(1.3) == ['model']


# Guards against an entry that takes open connections for reach.
def test_late_answer_over_an_older_connection_is_no_reach():
    reach = EndpointReach()
    reach.record_failed('model', 2.0)
    reach.record_accepted('model', 'e1', 1.0)
    assert reach.due_for_sample(2.1) == ['model']


def test_answer_after_a_failure_ends_the_doubt():
    reach = EndpointReach()
    reach.record_failed('model', 1.0)
    reach.record_accepted('model', 'e2', 1.1)
    assert reach.due_for_sample(1.2) == []


def test_samples_of_a_service_are_apart():
    reach = EndpointReach()
    reach.record_failed('model', 1.0)
    reach.begin_sample('model', 1.0)
    assert reach.due_for_sample(1.0 + 0.9 * SAMPLE_INTERVAL_S) == []
    assert reach.due_for_sample(1.0 + SAMPLE_INTERVAL_S) == ['model']


@pytest.mark.parametrize(
    ('accepted', 'asked', 'is_lost'),
    [(0, 4, True), (1, 4, False), (0, 1, False)],
)
def test_reach_is_lost_if_nobody_in_a_sample_answers(accepted, asked, is_lost):
    """A single endpoint may be dead itself."""
    reach = EndpointReach()
    changed = reach.record_sample('model', accepted=accepted, asked=asked)
    assert (changed, reach.is_cut_off('model')) == (is_lost, is_lost)


@pytest.mark.parametrize(('accepted', 'is_lost'), [(1, True), (2, False)])
def test_reach_is_regained_with_half_of_a_sample(accepted, is_lost):
    reach = EndpointReach()
    reach.record_sample('model', accepted=0, asked=4)
    reach.record_sample('model', accepted=accepted, asked=4)
    assert reach.is_cut_off('model') == is_lost


def test_services_are_judged_apart():
    reach = EndpointReach()
    reach.record_sample('desk', accepted=0, asked=3)
    assert reach.unreached == ('desk',)
    assert not reach.is_cut_off('model')


def test_witness_is_another_endpoint_since_the_probe():
    reach = EndpointReach()
    reach.record_accepted('model', 'e1', 5.0)
    assert reach.accepted_since('model', 4.9, without={'e2'})
    assert not reach.accepted_since('model', 4.9, without={'e1'})
    assert not reach.accepted_since('model', 5.1, without={'e2'})
    assert not reach.accepted_since('desk', 4.9, without={'e2'})
