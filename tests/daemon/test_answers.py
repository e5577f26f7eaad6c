"""A request under which endpoints failed is refused by all entries."""

from types import SimpleNamespace

from twisted.internet.task import Clock

from foxtailhatch.callers.gateway import GenerateRequest
from foxtailhatch.daemon.answers import Answers
from foxtailhatch.membership import EntryTable
from foxtailhatch.pipeline import AnswerFailed
from foxtailhatch.pipeline.answer import NOT_REPEATABLE, PROMPT_SUSPECTED
from foxtailhatch.recovery.failed_requests import REFUSED_S, FailedRequests
from tests.membership.entry_values import entry


class Sink:
    def __init__(self):
        self.refusals = []

    def failed(self, refusal):
        self.refusals.append(refusal)


class DaemonEntry:
    """The answers of one entry, without endpoints and sessions."""

    def __init__(self, name, clock):
        self.table = EntryTable(entry(name))
        board = SimpleNamespace(
            entries=self.table,
            shares=SimpleNamespace(record_request=lambda *_: None),
            failed_requests=FailedRequests(),
            record=lambda *_: None,
            stall_detector=None,
            retry_budget=None,
        )
        self.answers = Answers(board, None, None, None, clock)

    def is_refused(self, req, clock):
        sink = Sink()
        try:
            self.answers.admit(req, None, sink)
        except AttributeError:
            # It went on to the admission, which this entry does not have.
            return False
        clock.advance(0)
        return sink.refusals == [PROMPT_SUSPECTED]


def request(name, prompt=(1, 2)):
    caller = SimpleNamespace(account='ward')
    return GenerateRequest(name, caller, 'm', prompt, 8)


# Guards against one request that crashes endpoints at an entry after the other.
def test_request_that_failed_at_one_entry_is_refused_at_another():
    clock = Clock()
    first, second = (DaemonEntry(name, clock) for name in 'ab')
    failed = SimpleNamespace(req=request('q1'))
    first.answers._record_failure(failed, AnswerFailed(PROMPT_SUSPECTED), 0)
    assert first.is_refused(request('q2'), clock)
    assert not second.is_refused(request('q3'), clock)
    second.table.merge(first.table.own, 1)
    assert second.is_refused(request('q4'), clock)
    assert not second.is_refused(request('q5', prompt=(1, 3)), clock)


def test_request_is_tried_again_after_a_while():
    clock = Clock()
    one = DaemonEntry('a', clock)
    failed = SimpleNamespace(req=request('q1'))
    one.answers._record_failure(failed, AnswerFailed(PROMPT_SUSPECTED), 0)
    one.answers._announce_failed_requests(REFUSED_S + 1)
    assert not one.is_refused(request('q2'), clock)


def test_other_failures_refuse_no_later_request():
    clock = Clock()
    one = DaemonEntry('a', clock)
    failed = SimpleNamespace(req=request('q1'))
    one.answers._record_failure(failed, AnswerFailed(NOT_REPEATABLE), 0)
    assert not one.is_refused(request('q2'), clock)
