"""One request under which endpoints crash, among others lost beside it."""

from random import Random

import pytest

from foxtailhatch.recovery.crash_suspects import CrashSuspects, LostPrompt
from foxtailhatch.recovery.crashing_requests import (
    CRASHES_TO_CONVICT,
    EVIDENCE_TTL_S,
    REPORT_S,
    CrashingRequests,
)


def crash(number):
    return (f'e{number}', 1)


def requests_lost_in(*crashes):
    """Return the evidence of crashes, one a second."""
    requests = CrashingRequests()
    for number, lost in enumerate(crashes):
        requests.record_crash(crash(number), lost, now=float(number))
    return requests


def test_request_that_was_alone_in_two_crashes_is_convicted():
    requests = requests_lost_in(['bad'], ['bad'])
    assert requests.convict(1 + REPORT_S) == ['bad']


def test_verdict_on_two_crashes_waits_for_reports_of_other_entries():
    requests = requests_lost_in(['bad'], ['bad'])
    assert requests.convict(1.1) == []
    requests.record_crash(crash(1), ['other'], now=1.2)
    assert requests.convict(5) == []


def test_request_that_explains_more_crashes_than_others_is_convicted():
    requests = requests_lost_in(['bad', 'a'], ['bad', 'a'], ['bad', 'b'])
    assert requests.convict(2 + REPORT_S) == ['bad']
    assert requests.crash_count('a') == 0


# Guards against a sound request that is convicted before the cause is reported,
# by the entry that lost it.
def test_verdict_on_three_crashes_waits_for_reports_of_other_entries():
    requests = requests_lost_in(['bad', 'a'], ['bad', 'a'], ['a'])
    assert requests.convict(2.1) == []
    requests.record_crash(crash(2), ['bad'], now=2.2)
    requests.record_begun('a', begun_at=3)
    assert requests.convict(3 + REPORT_S) == ['bad']


def test_requests_in_the_same_crashes_are_told_apart_by_who_begins():
    crashes = [['bad', 'a']] * CRASHES_TO_CONVICT
    requests = requests_lost_in(*crashes)
    assert requests.convict(9) == []
    requests.record_begun('a', begun_at=9)
    assert requests.convict(10) == ['bad']


def test_news_that_a_request_began_leaves_later_crashes():
    requests = requests_lost_in(['a'], ['a'], ['a'])
    requests.record_begun('a', begun_at=1.5)
    assert requests.crash_count('a') == 1


def test_crashes_of_a_convicted_part_are_no_evidence():
    requests = requests_lost_in(['a'], ['a'], ['a'])
    explained = {crash(0), crash(1)}
    assert requests.crash_count('a', explained) == 1
    assert requests.convict(9, explained) == []


def test_evidence_expires():
    requests = requests_lost_in(['a'], ['a'])
    assert requests.convict(2 + EVIDENCE_TTL_S) == []
    assert not requests.is_undecided


def test_single_crashes_of_many_requests_convict_nobody():
    """An outage takes all that was about to begin, at many endpoints."""
    requests = requests_lost_in(*([f'q{n}', f'r{n}'] for n in range(50)))
    assert requests.convict(99) == []
    assert not requests.is_undecided


def parts_and_requests(*crashes):
    """Return both kinds of evidence, from (request, parts) of each crash."""
    requests = CrashingRequests()
    parts = CrashSuspects()
    for number, lost in enumerate(crashes):
        now = float(number)
        requests.record_crash(crash(number), [name for name, _ in lost], now)
        prompts = [LostPrompt(name, listed) for name, listed in lost]
        parts.record_crash(crash(number), prompts, now)
    return parts, requests


# Guards against sound parts that are refused as a request with them crashed.
def test_part_of_a_crashing_request_is_not_convicted():
    bad, other = ('bad', ('p',)), ('other', ('p',))
    parts, requests = parts_and_requests([bad, other], [bad], [bad, other])
    assert parts.convict(3, requests.causes) == []
    assert requests.convict(4) == ['bad']
    assert parts.convict(9, requests.causes) == []


@pytest.mark.parametrize('is_alone', [True, False])
def test_part_of_several_crashing_requests_is_convicted(is_alone):
    def lost(name):
        beside = [] if is_alone else [('beside', ('s',))]
        return [(name, ('p',)), *beside]

    parts, requests = parts_and_requests(*map(lost, 'aabbcc'))
    requests.record_begun('beside', begun_at=9)
    requests.convict(9)
    assert 'p' in parts.convict(9, requests.causes)


# The load: one request at many entries, each engine it reaches is lost with all
# that had not begun there, and reports arrive late.
@pytest.mark.parametrize('entries', [3, 39, 195])
@pytest.mark.parametrize('seed', range(5))
def test_only_the_crashing_request_of_a_cascade_is_convicted(entries, seed):
    random = Random(seed)
    views = [CrashingRequests() for _ in range(entries)]
    reports = []
    now = 0.0
    crashes = 0
    while crashes < 6 and not any(view.convict(now) for view in views):
        crashes += 1
        beside = {f'q{random.randrange(40)}' for _ in range(12)}
        lost = sorted(beside | {'bad'})
        for reporter in random.sample(range(entries), 3):
            share = [one for one in lost if random.random() < 0.7]
            for view in views:
                due = now + random.uniform(0, REPORT_S)
                reports.append((due, view, crash(crashes), share, reporter))
        for view in views:
            view.record_crash(crash(crashes), ['bad'], now)
        now += random.uniform(0.2, 2.0)
        for _, view, one, share, _ in [r for r in reports if r[0] <= now]:
            view.record_crash(one, share, now)
        reports = [report for report in reports if report[0] > now]
    now += REPORT_S
    for _, view, one, share, _ in reports:
        view.record_crash(one, share, now)
    convicted = set()
    for view in views:
        for name in {f'q{number}' for number in range(40)}:
            view.record_begun(name, now)
        view.convict(now + 1)
        convicted |= view._convicted
    assert convicted == {'bad'}
    assert crashes <= CRASHES_TO_CONVICT + 2
