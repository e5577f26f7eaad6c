from foxtailhatch.callers.answer_timing import AnswerTimes
from foxtailhatch.core import ErrorCode, Invariant, check_counts
from foxtailhatch.daemon.metrics import Metrics
from foxtailhatch.outside import PlatformFault


def rendered(metrics):
    """Return the rendered samples, keyed by name and labels."""
    lines = metrics.render().decode().splitlines()
    samples = [line.rsplit(' ', 1) for line in lines if line[0] != '#']
    return {name: float(number) for name, number in samples}


def test_requests_are_counted_by_outcome():
    metrics = Metrics('entry-1')
    for code in (None, ErrorCode.DEADLINE, None):
        metrics.record_request_outcome(code)
    samples = rendered(metrics)
    name = 'foxtailhatch_requests_total{instance="entry-1",outcome="%s"}'
    assert samples[name % 'whole'] == 2
    assert samples[name % 'deadline'] == 1


def test_tokens_version_and_invariant_checks_are_rendered():
    metrics = Metrics('entry-1')
    metrics.tokens_delivered += 3
    metrics.count_log_fault(PlatformFault.NO_RESPONSE)
    metrics.set_configuration_version(12)
    samples = rendered(metrics)
    label = '{instance="entry-1"'
    tokens = f'foxtailhatch_tokens_total{label}}}'
    version = f'foxtailhatch_configuration_version{label}}}'
    checks = f'foxtailhatch_invariant_checks_total{label},invariant="%s"}}'
    assert (samples[tokens], samples[version]) == (3, 12)
    expected = check_counts[Invariant.AT_MOST_ONCE]
    assert samples[checks % 'at_most_once'] == expected


def test_first_token_target_is_a_histogram_bucket():
    metrics = Metrics('entry-1')
    metrics.record_answer_times(AnswerTimes(0.5, 2))
    bucket = 'foxtailhatch_first_token_seconds_bucket'
    samples = rendered(metrics)
    assert samples[f'{bucket}{{instance="entry-1",le="0.54"}}'] == 1
    assert samples[f'{bucket}{{instance="entry-1",le="0.3"}}'] == 0
    late = 'foxtailhatch_late_tokens_total{instance="entry-1"}'
    assert samples[late] == 2
