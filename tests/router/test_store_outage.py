"""Removals after an outage: lapses, and endpoints that leave."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.router.settings import Bounds
from foxtailhatch.router.store_outage import (
    LAPSE_GRACE_S,
    READ_DELAY_S,
    OutageView,
    StoreOutage,
)

TIMEOUT_S = 1.0


def make_outage(failed_at, returned_at=None, bounds=None):
    outage = StoreOutage(bounds or Bounds())
    outage.record_failure(failed_at)
    if returned_at is not None:
        outage.record_success(returned_at, returned_at)
    return outage


def test_endpoints_have_time_to_write_their_records_again():
    outage = make_outage(failed_at=10.0, returned_at=10.5)
    until = 10.5 + LAPSE_GRACE_S + READ_DELAY_S
    assert outage.lapses_until(10.6) == pytest.approx(until)


def test_grace_of_a_lapse_is_not_extended_by_later_reads():
    outage = make_outage(failed_at=10.0, returned_at=10.5)
    before = outage.lapses_until(10.6)
    outage.record_success(11.0, 11.1)
    assert outage.lapses_until(11.2) == before


def test_no_removal_is_a_lapse_without_an_outage():
    outage = StoreOutage(Bounds())
    outage.record_success(10.0, 10.1)
    assert outage.lapses_until(10.2) < 10.2


def test_answer_to_a_read_from_before_the_failed_one_is_no_return():
    outage = make_outage(failed_at=10.0)
    outage.record_success(9.9, 10.4)
    assert outage.returned_at is None


def test_older_failed_read_changes_nothing():
    outage = make_outage(failed_at=10.0, returned_at=10.5)
    outage.record_failure(9.8)
    assert (outage.failed_at, outage.returned_at) == (10.0, 10.5)


def test_return_from_an_older_copy_is_the_end_of_an_outage():
    outage = StoreOutage(Bounds())
    outage.record_epoch(1, 10.0)
    assert outage.lapses_until(10.0) < 10.0
    outage.record_epoch(2, 20.0)
    outage.record_epoch(2, 21.0)
    until = 20.0 + LAPSE_GRACE_S + READ_DELAY_S
    assert outage.lapses_until(21.0) == pytest.approx(until)


# Guards against work for an endpoint that left soon after a short outage, as a
# read that had timed out made the outage look a second longer.
@given(
    outage_s=st.floats(0.05, 20),
    read_before_end_s=st.floats(0, 3),
    answered_after_s=st.floats(0, 4),
    removed_after_s=st.floats(0, 10),
    settling_s=st.floats(1, 6),
    leaving_s=st.floats(1, 6),
)
def test_endpoint_that_leaves_a_settled_store_is_used_within_the_bound(
    outage_s,
    read_before_end_s,
    answered_after_s,
    removed_after_s,
    settling_s,
    leaving_s,
):
    bounds = Bounds(settling_s=settling_s, leaving_s=leaving_s)
    ended_at = 100 + outage_s
    sent_at = max(100, ended_at - read_before_end_s)
    outage = make_outage(sent_at, ended_at + answered_after_s, bounds)
    removed_at = ended_at + settling_s + removed_after_s
    assert outage.lapses_until(removed_at) <= removed_at + leaving_s


def read(outage, *times):
    for time in times:
        outage.record_success(time, time)


def test_view_covers_the_time_of_answered_reads_without_a_gap():
    outage = StoreOutage(Bounds())
    assert outage.view() is None
    read(outage, 1.0, 1.8, 9.0, 9.5)
    view = outage.view()
    assert (view.since, view.until, view.away_at) == (9.0, 9.5, None)
    assert not view.covers(5.0)
    assert view.covers(9.3)


def test_data_of_a_peer_are_no_reads_of_the_store():
    outage = StoreOutage(Bounds())
    outage.record_fed(5.0, 5.1)
    assert outage.view() is None


def test_read_that_fails_late_is_explained_by_what_was_known_before():
    outage = StoreOutage(Bounds())
    outage.record_failure(10.0)
    assert outage.adopt(OutageView(since=0, until=12))
    outage.record_failure(11.0)
    assert outage.failed_at is None
    outage.record_failure(12.5)
    assert outage.failed_at == 12.5


def test_view_of_another_time_explains_nothing():
    outage = StoreOutage(Bounds())
    outage.record_failure(10.0)
    assert not outage.adopt(OutageView(since=10.5, until=12))
    assert outage.failed_at == 10.0


def test_outage_that_others_saw_is_forgotten_if_a_reader_saw_none():
    outage = StoreOutage(Bounds())
    outage.adopt(OutageView(11, 12, away_at=10, back_at=10.5))
    assert outage.lapses_until(11) > 11
    outage.adopt(OutageView(5, 12))
    assert outage.lapses_until(11) < 11


# Guards against requests from an entry in contact for an endpoint that left, whenever
# the store turned the entry away and whoever answers its questions.
@given(
    read_before_end_s=st.floats(0, 3),
    answered_after_s=st.floats(0, 4),
    settling_s=st.floats(1, 6),
    leaving_s=st.floats(1, 6),
)
def test_entry_that_has_settled_uses_no_endpoint_by_its_own_failures(
    read_before_end_s, answered_after_s, settling_s, leaving_s
):
    bounds = Bounds(settling_s=settling_s, leaving_s=leaving_s)
    ended_at = 100.0
    outage = make_outage(
        ended_at - read_before_end_s, ended_at + answered_after_s, bounds
    )
    now = ended_at + answered_after_s
    assert outage.reviewed_until(now) <= ended_at + settling_s
