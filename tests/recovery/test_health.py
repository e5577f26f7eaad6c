from random import Random

from foxtailhatch.recovery import (
    Ejected,
    EndpointAdmission,
    EndpointHealth,
    Restored,
    Unchanged,
)


def health_of(*names, share_max=0.5, seed=1):
    health = EndpointHealth(Random(seed), share_max=share_max)
    health.set_endpoints(frozenset(names))
    return health


def fail(health, name, now, times=3):
    for _ in range(times - 1):
        health.record_failure(name, now)
    return health.record_failure(name, now)


def test_only_consecutive_failures_eject_an_endpoint():
    health = health_of('a', 'b')
    for _ in range(9):
        assert health.record_failure('a', 1.0) == Unchanged('a')
        health.record_success('a', 1.0)
    assert isinstance(fail(health, 'a', 1.0), Ejected)
    assert health.admission('a', 1.0) is EndpointAdmission.EJECTED


def test_a_successful_probe_restores_an_ejected_endpoint():
    health = health_of('a', 'b')
    until = fail(health, 'a', 1.0).until
    assert health.probes_due(until - 0.01) == ()
    assert health.probes_due(until) == ('a',)
    assert health.begin_probe('a', until)
    assert not health.begin_probe('a', until)
    assert health.record_success('a', until) == Restored('a')
    assert health.admission('a', until) is EndpointAdmission.OPEN


def test_an_unanswered_probe_does_not_block_the_next():
    health = health_of('a', 'b')
    until = fail(health, 'a', 1.0).until
    health.begin_probe('a', until)
    assert health.probes_due(until + 5.0) == ('a',)


def test_ejections_grow_with_each_failed_probe_up_to_a_maximum():
    health = health_of('a', 'b')
    now, ejections_s = 1.0, []
    outcome = fail(health, 'a', now)
    for _ in range(20):
        ejections_s.append(outcome.until - now)
        now = outcome.until
        outcome = health.record_failure('a', now)
    assert ejections_s[0] <= 1.0 < ejections_s[4]
    assert 15.0 <= ejections_s[-1] <= 30.0


def test_a_failure_right_after_restoration_ejects_for_longer():
    health = health_of('a', 'b')
    first = fail(health, 'a', 0.0).until
    health.record_success('a', first)
    assert fail(health, 'a', first).until - first >= 1.0


def test_a_later_success_resets_the_ejection_time():
    health = health_of('a', 'b')
    now = fail(health, 'a', 0.0).until
    for _ in range(5):
        now = health.record_failure('a', now).until
    health.record_success('a', now)
    health.record_success('a', now)
    assert fail(health, 'a', now).until - now <= 1.0


def test_failures_while_ejected_do_not_extend_the_ejection():
    health = health_of('a', 'b')
    until = fail(health, 'a', 1.0).until
    assert health.record_failure('a', 1.1) == Unchanged('a')
    assert health.probes_due(until) == ('a',)


def test_probe_times_of_entries_are_jittered():
    untils = {
        fail(health_of('a', 'b', seed=seed), 'a', 0.0).until
        for seed in range(20)
    }
    assert len(untils) == 20


def ejected_count_of(names, failing, share_max):
    health = health_of(*names, share_max=share_max)
    for name in failing:
        fail(health, name, 0.0)
    return health.ejected_count()


def test_at_most_half_of_the_endpoints_are_ejected_if_all_fail():
    names = [f'{zone}{n}' for zone in 'abc' for n in range(10)]
    assert ejected_count_of(names, names, share_max=1.0) == 30
    assert ejected_count_of(names, names, share_max=0.5) == 15


def test_all_endpoints_of_one_zone_of_three_can_be_ejected():
    names = [f'{zone}{n}' for zone in 'abc' for n in range(10)]
    assert ejected_count_of(names, names[:10], share_max=0.5) == 10


def test_a_failure_above_the_ejection_cap_is_reported():
    health = health_of('a', 'b')
    fail(health, 'a', 0.0)
    assert fail(health, 'b', 0.0) == Unchanged('b', capped=True)


def test_removed_endpoints_do_not_count_for_the_ejection_cap():
    health = health_of('a', 'b', 'c', 'd')
    health.set_endpoints(frozenset({'a', 'b'}))
    fail(health, 'a', 0.0)
    assert fail(health, 'b', 0.0).capped
