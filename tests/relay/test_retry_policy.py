import itertools

from foxtailhatch.relay.retry_policy import (
    Failure,
    FailureContext,
    RetryAction,
    action_after_failure,
)

BOTH = (False, True)


def situations():
    for failure in Failure:
        for flags in itertools.product(BOTH, repeat=4):
            for attempts, unreached in itertools.product((0, 1), (0, 3)):
                may_repeat, may_have_run, is_started, has_budget = flags
                yield FailureContext(
                    failure,
                    may_repeat,
                    may_have_run
                    or failure
                    in {
                        Failure.MAY_HAVE_RUN,
                        Failure.FAILED,
                    },
                    is_started,
                    attempts,
                    unreached,
                    1,
                    has_budget,
                )


def test_what_may_have_run_is_never_refused_as_not_run():
    for now in situations():
        if now.may_have_run:
            assert action_after_failure(now) is not RetryAction.REFUSE


def test_what_may_not_repeat_is_never_sent_after_it_may_have_run():
    for now in situations():
        if now.may_have_run and not now.may_repeat:
            assert action_after_failure(now) is not RetryAction.TRY_AGAIN


def test_nothing_is_sent_again_without_budget_or_attempts():
    for now in situations():
        spent = now.attempts_left == 0 and now.failure is not Failure.UNREACHED
        if spent or not now.has_budget:
            assert action_after_failure(now) is not RetryAction.TRY_AGAIN


def test_a_started_answer_is_never_replaced_by_another_status():
    for now in situations():
        if now.is_started:
            assert action_after_failure(now) in {
                RetryAction.TRY_AGAIN,
                RetryAction.FAIL,
            }
