import itertools

from foxtailhatch.relay.retry_policy import (
    FailureContext,
    FailureKind,
    RetryAction,
    action_after_failure,
)

BOTH = (False, True)


def failure_contexts():
    for failure in FailureKind:
        for flags in itertools.product(BOTH, repeat=4):
            for attempts, unreached in itertools.product((0, 1), (0, 3)):
                may_repeat, may_have_run, is_started, has_budget = flags
                yield FailureContext(
                    failure,
                    may_repeat,
                    may_have_run
                    or failure
                    in {
                        FailureKind.MAY_HAVE_RUN,
                        FailureKind.FAILED,
                    },
                    is_started,
                    attempts,
                    unreached,
                    1,
                    has_budget,
                )


def test_request_that_may_have_run_is_never_refused_as_not_run():
    for context in failure_contexts():
        if context.may_have_run:
            assert action_after_failure(context) is not RetryAction.REFUSE


def test_non_repeatable_request_that_may_have_run_is_never_retried():
    for context in failure_contexts():
        if context.may_have_run and not context.may_repeat:
            assert action_after_failure(context) is not RetryAction.RETRY


def test_no_retry_without_budget_or_attempts_left():
    for context in failure_contexts():
        spent = (
            context.attempts_left == 0
            and context.failure is not FailureKind.UNREACHED
        )
        if spent or not context.has_budget:
            assert action_after_failure(context) is not RetryAction.RETRY


def test_started_response_is_never_replaced_by_another_status():
    for context in failure_contexts():
        if context.is_started:
            assert action_after_failure(context) in {
                RetryAction.RETRY,
                RetryAction.FAIL,
            }
