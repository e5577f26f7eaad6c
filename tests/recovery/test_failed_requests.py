"""How long, and how many, failed requests are refused."""

from foxtailhatch.recovery.failed_requests import (
    MAX_REQUESTS,
    REFUSED_S,
    FailedRequests,
    answer_fingerprint,
)


def test_failed_request_may_be_tried_again_after_a_while():
    failed = FailedRequests()
    failed.add('f1', now=0)
    assert failed.current(REFUSED_S) == ('f1',)
    assert failed.current(REFUSED_S + 1) == ()


def test_number_of_failed_requests_is_bounded():
    failed = FailedRequests()
    for number in range(3 * MAX_REQUESTS):
        failed.add(f'f{number}', now=0)
    assert len(failed.current(0)) == MAX_REQUESTS
    assert failed.current(0)[-1] == f'f{3 * MAX_REQUESTS - 1}'


def test_other_accounts_models_and_prompts_are_other_requests():
    fingerprints = {
        answer_fingerprint('ward', 'm', (1, 2)),
        answer_fingerprint('crew', 'm', (1, 2)),
        answer_fingerprint('ward', 'n', (1, 2)),
        answer_fingerprint('ward', 'm', (1, 3)),
    }
    assert len(fingerprints) == 4
