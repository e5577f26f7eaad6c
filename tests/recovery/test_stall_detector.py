import pytest

from foxtailhatch.recovery import PendingStep, StallDetector
from foxtailhatch.recovery.stall_detector import STEP_TIMEOUT_MAX_S

RECOVERY_TARGET_S = 0.54
POLL_S = 0.02


def pending_step(stream='s', endpoint='gpu', attempt=1):
    return PendingStep(stream, attempt, endpoint)


def trained_detector(step_s, steps=50, **settings):
    detector = StallDetector(**settings)
    for number in range(steps):
        detector.record_sent(pending_step(), 1, float(number))
        detector.record_received(pending_step(), number + step_s)
    return detector


def detected_after_s(detector, positions=1, start=1000.0):
    detector.take_overdue(start)
    detector.record_sent(pending_step('frozen'), positions, start)
    for tick in range(1, 2000):
        overdue = detector.take_overdue(start + tick * POLL_S)
        if overdue:
            assert overdue[0].step == pending_step('frozen')
            return tick * POLL_S
    return float('inf')


@pytest.mark.parametrize('step_s', [0.001, 0.02, 0.054, 0.2, 3.0])
def test_a_stall_is_detected_within_half_of_the_recovery_target(step_s):
    longest = RECOVERY_TARGET_S / 2 + POLL_S
    assert detected_after_s(trained_detector(step_s)) <= longest


def test_without_a_maximum_earlier_slow_steps_hide_a_stall():
    detector = trained_detector(3.0, ceiling_s=float('inf'))
    assert detected_after_s(detector) > RECOVERY_TARGET_S


def test_a_stall_of_a_fast_endpoint_is_detected_sooner_than_of_an_unknown_one():
    assert detected_after_s(trained_detector(0.01)) < detected_after_s(
        StallDetector()
    )


def test_an_endpoint_with_steady_steps_is_never_reported():
    detector = trained_detector(0.054)
    for number in range(100, 200):
        detector.record_sent(pending_step(), 1, float(number))
        detector.take_overdue(number + 0.0)
        detector.take_overdue(number + 0.04)
        assert detector.take_overdue(number + 0.07) == ()
        detector.record_received(pending_step(), number + 0.07)


def test_a_long_prefill_gets_a_longer_timeout():
    assert detected_after_s(StallDetector(), positions=100) > 1.0


def test_the_timeout_of_a_prefill_follows_measured_prefills():
    detector = trained_detector(0.02)
    for number in range(100, 150):
        detector.record_sent(pending_step(), 101, float(number))
        detector.record_received(pending_step(), number + 0.02 + 0.1)
    assert detected_after_s(detector, positions=101) <= RECOVERY_TARGET_S / 2


def test_a_pause_of_this_process_extends_the_deadlines():
    detector = trained_detector(0.02)
    detector.take_overdue(99.99)
    detector.record_sent(pending_step(), 1, 100.0)
    assert detector.take_overdue(105.0) == ()
    for later in (105.04, 105.08, 105.12):
        assert detector.take_overdue(later) == ()
    assert len(detector.take_overdue(105.16)) == 1


def test_an_overdue_step_is_reported_once():
    detector = StallDetector()
    detector.record_sent(pending_step(), 1, 0.0)
    assert len(detector.take_overdue(1.0)) == 1
    assert detector.take_overdue(1.02) == ()


def test_an_output_or_the_end_of_the_stream_clears_the_deadline():
    detector = StallDetector()
    detector.record_sent(pending_step('s'), 1, 0.0)
    detector.record_sent(pending_step('t'), 1, 0.0)
    detector.record_received(pending_step('s'), 0.01)
    detector.forget_stream('t')
    assert detector.take_overdue(9.0) == ()


def test_outputs_of_an_earlier_attempt_clear_no_deadline():
    detector = StallDetector()
    detector.record_sent(pending_step(attempt=2), 1, 0.0)
    detector.record_received(pending_step(attempt=1), 0.1)
    assert [overdue.step.attempt for overdue in detector.take_overdue(9.0)] == [
        2
    ]


def test_an_unmeasured_endpoint_gets_the_timeout_of_the_slowest_measured():
    """Guard against a stall of a new endpoint being detected 0.3 s later."""
    detector = StallDetector()
    assert detector.timeout_s('new', 11) == STEP_TIMEOUT_MAX_S + 10 * 0.02
    detector.add_duration('old', 1, 0.004)
    detector.add_duration('old', 11, 0.014)
    assert detector.timeout_s('new', 11) == detector.timeout_s('old', 11)
