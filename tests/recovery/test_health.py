from random import Random

from foxtailhatch.recovery import (
    Ejected,
    EndpointAdmission,
    EndpointHealth,
    Restored,
    Unchanged,
)


def tracker(*names, share_max=0.5, seed=1):
    health = EndpointHealth(Random(seed), share_max=share_max)
    health.set_endpoints(frozenset(names))
    return health


def fail(health, name, now, times=3):
    for _ in range(times - 1):
        health.note_failure(name, now)
    return health.note_failure(name, now)


def test_failures_in_a_row_eject_and_scattered_ones_do_not():
    health = tracker('a', 'b')
    for _ in range(9):
        assert health.note_failure('a', 1.0) == Unchanged('a')
        health.note_success('a', 1.0)
    assert isinstance(fail(health, 'a', 1.0), Ejected)
    assert health.admission('a', 1.0) is EndpointAdmission.EJECTED


def test_an_ejected_endpoint_is_probed_back_one_probe_at_a_time():
    health = tracker('a', 'b')
    until = fail(health, 'a', 1.0).until
    assert health.probes_due(until - 0.01) == ()
    assert health.probes_due(until) == ('a',)
    assert health.begin_probe('a', until)
    assert not health.begin_probe('a', until)
    assert health.note_success('a', until) == Restored('a')
    assert health.admission('a', until) is EndpointAdmission.OPEN


def test_a_probe_that_never_answers_does_not_block_the_next():
    health = tracker('a', 'b')
    until = fail(health, 'a', 1.0).until
    health.begin_probe('a', until)
    assert health.probes_due(until + 5.0) == ('a',)


def test_pauses_grow_with_each_failed_probe_up_to_a_bound():
    health = tracker('a', 'b')
    now, pauses = 1.0, []
    outcome = fail(health, 'a', now)
    for _ in range(20):
        pauses.append(outcome.until - now)
        now = outcome.until
        outcome = health.note_failure('a', now)
    assert pauses[0] <= 1.0 < pauses[4]
    assert 15.0 <= pauses[-1] <= 30.0


def test_an_endpoint_that_fails_again_right_after_a_probe_waits_longer():
    health = tracker('a', 'b')
    first = fail(health, 'a', 0.0).until
    health.note_success('a', first)
    assert fail(health, 'a', first).until - first >= 1.0


def test_an_endpoint_that_worked_for_a_while_starts_with_a_short_pause():
    health = tracker('a', 'b')
    now = fail(health, 'a', 0.0).until
    for _ in range(5):
        now = health.note_failure('a', now).until
    health.note_success('a', now)
    health.note_success('a', now)
    assert fail(health, 'a', now).until - now <= 1.0


def test_late_failures_do_not_lengthen_a_pause():
    health = tracker('a', 'b')
    until = fail(health, 'a', 1.0).until
    assert health.note_failure('a', 1.1) == Unchanged('a')
    assert health.probes_due(until) == ('a',)


def test_entries_do_not_probe_together():
    untils = {
        fail(tracker('a', 'b', seed=seed), 'a', 0.0).until for seed in range(20)
    }
    assert len(untils) == 20


def ejected_of(names, failing, share_max):
    health = tracker(*names, share_max=share_max)
    for name in failing:
        fail(health, name, 0.0)
    return health.ejected_count()


def test_a_fault_of_our_own_leaves_half_of_the_endpoints_in_use():
    names = [f'{zone}{n}' for zone in 'abc' for n in range(10)]
    assert ejected_of(names, names, share_max=1.0) == 30
    assert ejected_of(names, names, share_max=0.5) == 15


def test_a_whole_zone_of_three_can_be_put_aside():
    names = [f'{zone}{n}' for zone in 'abc' for n in range(10)]
    assert ejected_of(names, names[:10], share_max=0.5) == 10


def test_a_failure_over_the_cap_is_told():
    health = tracker('a', 'b')
    fail(health, 'a', 0.0)
    assert fail(health, 'b', 0.0) == Unchanged('b', capped=True)


def test_endpoints_that_are_gone_do_not_widen_the_cap():
    health = tracker('a', 'b', 'c', 'd')
    health.set_endpoints(frozenset({'a', 'b'}))
    fail(health, 'a', 0.0)
    assert fail(health, 'b', 0.0).capped
