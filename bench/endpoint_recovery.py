"""Failure detection and retries against baselines: ``python -m bench.endpoint_recovery``.

Step times are drawn from a lognormal distribution around 13 ms, with one step
in a thousand ten times as long.  The baseline of the detection is a fixed
timeout of half the recovery target; that of the retries is up to three
retries without a budget.  Each line printed is one JSON object.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import log
from random import Random
from statistics import median

import click

from bench.report import report
from foxtailhatch.recovery import (
    EndpointHealth,
    FailedAttempt,
    FailureCause,
    PendingStep,
    RetryBudget,
    RetryGranted,
    StallDetector,
    Unchanged,
)

STEP_S = 0.013
STEP_SPREAD = 0.3
SLOW_SHARE = 0.001
SLOW_FACTOR = 10
FIXED_TIMEOUT_S = 0.27
FLOORS_S = (0, 0.05, 0.1, 0.15, 0.2)
POLL_S = 0.02
STEPS = 200_000
FREEZES = 500
REQUESTS = 20_000
ATTEMPTS = 4
ENDPOINTS = 90


@dataclass(frozen=True, slots=True)
class Detection:
    """Median detection delay of a freeze, and number of false alarms."""

    detection_s: float
    false_alarms: int


def step_times(random: Random, count: int) -> Iterator[float]:
    """Yield random step times in seconds."""
    for _ in range(count):
        step_s = random.lognormvariate(log(STEP_S), STEP_SPREAD)
        is_slow = random.random() < SLOW_SHARE
        yield step_s * SLOW_FACTOR if is_slow else step_s


def detect(detector: StallDetector, random: Random) -> Detection:
    """Count false alarms, and measure the detection delay of freezes."""
    false_alarms = 0
    for duration_s in step_times(random, STEPS):
        false_alarms += duration_s > detector.timeout_s('gpu', 1)
        detector.add_duration('gpu', 1, duration_s)
    delays_s = [
        detection_s(detector, number, random) for number in range(FREEZES)
    ]
    return Detection(median(delays_s), false_alarms)


def detection_s(detector: StallDetector, number: int, random: Random) -> float:
    """Freeze a step at a random phase of the polls; return its detection delay."""
    start = 1000.0 * (number + 1)
    detector.take_overdue(start)
    sent_at = start + POLL_S * random.random()
    detector.record_sent(PendingStep(f's-{number}', 1, 'gpu'), 1, sent_at)
    now = start
    while not detector.take_overdue(now):
        now += POLL_S
    return now - sent_at


def attempts_per_request(
    failing: float, random: Random, budget: RetryBudget
) -> float:
    """Return the mean attempts per request when a share of them fails."""
    attempts = 0
    for _ in range(REQUESTS):
        budget.record_request()
        attempts += 1
        number = 1
        while random.random() < failing:
            failure = FailedAttempt(number, FailureCause.LOST, repeatable=True)
            if not isinstance(budget.request_retry(failure), RetryGranted):
                break
            attempts += 1
            number += 1
    return attempts / REQUESTS


def endpoints_in_use(share_max: float, failing: int) -> int:
    """Return the endpoints left in use when ``failing`` of them report errors."""
    health = EndpointHealth(Random(1), share_max)
    names = [f'gpu-{number}' for number in range(ENDPOINTS)]
    health.set_endpoints(frozenset(names))
    for name in names[:failing]:
        while isinstance(health.record_failure(name, 0), Unchanged):
            if health.ejected_count() >= int(ENDPOINTS * share_max):
                break
    return ENDPOINTS - health.ejected_count()


def report_detection(seed: int) -> None:
    """Report adaptive detection at several floors against a fixed timeout."""
    fixed = detect(
        StallDetector(floor_s=FIXED_TIMEOUT_S, ceiling_s=FIXED_TIMEOUT_S),
        Random(seed),
    )
    for floor_s in FLOORS_S:
        ours = detect(StallDetector(floor_s=floor_s), Random(seed))
        report(
            'frozen_stage_noticed',
            round(ours.detection_s, 3),
            's',
            round(fixed.detection_s, 3),
            floor_s=floor_s,
        )
        report(
            'false_alarms',
            ours.false_alarms,
            f'in {STEPS} steps',
            fixed.false_alarms,
            floor_s=floor_s,
        )


def report_retries(seed: int) -> None:
    """Report attempts per request against retries without a budget."""
    for percent in (1, 30, 100):
        failing = percent / 100
        ours = RetryBudget(Random(seed))
        unbounded = RetryBudget(Random(seed), share=ATTEMPTS, burst=ATTEMPTS)
        report(
            f'attempts_a_request_{percent}_percent_failing',
            round(attempts_per_request(failing, Random(seed), ours), 3),
            'attempts',
            round(attempts_per_request(failing, Random(seed), unbounded), 3),
        )


def report_ejection() -> None:
    """Report the endpoints in use against ejection without a limit."""
    for failing in (ENDPOINTS // 3, ENDPOINTS):
        report(
            f'in_use_with_{failing}_of_{ENDPOINTS}_failing',
            endpoints_in_use(0.5, failing),
            'endpoints',
            endpoints_in_use(1.0, failing),
        )


@click.command()
@click.option('--seed', default=1)
def main(seed: int) -> None:
    """Measure detection, retries and ejection."""
    report_detection(seed)
    report_retries(seed)
    report_ejection()


if __name__ == '__main__':
    main()
