import pytest

from foxtailhatch.recovery import PendingStep, StallDetector
from foxtailhatch.recovery.stall_detector import STEP_CEILING_S

RECOVERY_TARGET_S = 0.54
POLL_S = 0.02


def wait(stream='s', endpoint='gpu', attempt=1):
    return PendingStep(stream, attempt, endpoint)


def trained(step_s, steps=50, **settings):
    watch = StallDetector(**settings)
    for number in range(steps):
        watch.note_sent(wait(), 1, float(number))
        watch.note_received(wait(), number + step_s)
    return watch


def detected_after_s(watch, positions=1, start=1000.0):
    watch.take_overdue(start)
    watch.note_sent(wait('frozen'), positions, start)
    for tick in range(1, 2000):
        overdue = watch.take_overdue(start + tick * POLL_S)
        if overdue:
            assert overdue[0].step == wait('frozen')
            return tick * POLL_S
    return float('inf')


@pytest.mark.parametrize('step_s', [0.001, 0.02, 0.054, 0.2, 3.0])
def test_a_frozen_stage_is_noticed_in_half_of_the_recovery_target(step_s):
    longest = RECOVERY_TARGET_S / 2 + POLL_S
    assert detected_after_s(trained(step_s)) <= longest


def test_without_a_ceiling_a_slow_past_hides_a_frozen_stage():
    watch = trained(3.0, ceiling_s=float('inf'))
    assert detected_after_s(watch) > RECOVERY_TARGET_S


def test_a_fast_endpoint_is_suspected_sooner_than_an_unknown_one():
    assert detected_after_s(trained(0.01)) < detected_after_s(StallDetector())


def test_a_steady_endpoint_is_never_suspected():
    watch = trained(0.054)
    for number in range(100, 200):
        watch.note_sent(wait(), 1, float(number))
        watch.take_overdue(number + 0.0)
        watch.take_overdue(number + 0.04)
        assert watch.take_overdue(number + 0.07) == ()
        watch.note_received(wait(), number + 0.07)


def test_a_long_prefill_is_given_its_time():
    assert detected_after_s(StallDetector(), positions=100) > 1.0


def test_a_measured_prefill_is_given_no_more_than_it_needs():
    watch = trained(0.02)
    for number in range(100, 150):
        watch.note_sent(wait(), 101, float(number))
        watch.note_received(wait(), number + 0.02 + 0.1)
    assert detected_after_s(watch, positions=101) <= RECOVERY_TARGET_S / 2


def test_a_pause_of_this_process_is_blamed_on_no_stage():
    watch = trained(0.02)
    watch.take_overdue(99.99)
    watch.note_sent(wait(), 1, 100.0)
    assert watch.take_overdue(105.0) == ()
    for later in (105.04, 105.08, 105.12):
        assert watch.take_overdue(later) == ()
    assert len(watch.take_overdue(105.16)) == 1


def test_a_suspect_is_reported_once():
    watch = StallDetector()
    watch.note_sent(wait(), 1, 0.0)
    assert len(watch.take_overdue(1.0)) == 1
    assert watch.take_overdue(1.02) == ()


def test_an_output_or_the_end_of_the_stream_ends_the_wait():
    watch = StallDetector()
    watch.note_sent(wait('s'), 1, 0.0)
    watch.note_sent(wait('t'), 1, 0.0)
    watch.note_received(wait('s'), 0.01)
    watch.forget_stream('t')
    assert watch.take_overdue(9.0) == ()


def test_outputs_of_an_earlier_attempt_end_no_wait():
    watch = StallDetector()
    watch.note_sent(wait(attempt=2), 1, 0.0)
    watch.note_received(wait(attempt=1), 0.1)
    assert [overdue.step.attempt for overdue in watch.take_overdue(9.0)] == [2]


def test_an_endpoint_never_measured_may_take_as_long_as_the_slowest_known():
    """Its stall was noticed 0.3 s later than that of a measured one."""
    watch = StallDetector()
    assert watch.timeout_s('new', 11) == STEP_CEILING_S + 10 * 0.02
    watch.add_duration('old', 1, 0.004)
    watch.add_duration('old', 11, 0.014)
    assert watch.timeout_s('new', 11) == watch.timeout_s('old', 11)
