from random import Random

from foxtailhatch.membership import (
    EntryTable,
    LeaveNotice,
    RequestedReply,
    Suspicion,
)
from foxtailhatch.membership.digest_builder import DigestBuilder
from tests.membership.entry_values import entry


def table_and_builder(*others):
    table = EntryTable(entry('own'))
    for other in others:
        table.merge(other, 0.0)
    return table, DigestBuilder(table, Random(1))


def build_digest(builder, now=0.0, receiver=None):
    return builder.build(receiver, RequestedReply.NOTHING, now)


def test_leave_notice_carries_its_age():
    _, builder = table_and_builder()
    builder.add_leave('gpu', 1.0, 1.0)
    assert build_digest(builder, 3.5).leaves == (LeaveNotice('gpu', 2.5),)


def test_expired_leave_notice_is_not_queued():
    _, builder = table_and_builder()
    assert not builder.add_leave('gpu', 0.0, 31.0)


def test_later_leave_of_the_same_endpoint_is_queued_again():
    _, builder = table_and_builder()
    assert builder.add_leave('gpu', 0.0, 0.0)
    assert not builder.add_leave('gpu', 1.0, 1.0)
    assert builder.add_leave('gpu', 100.0, 100.0)


def test_changed_entry_removes_its_queued_suspicion():
    other = entry('other')
    _, builder = table_and_builder(other)
    builder.add_suspicion(other)
    assert build_digest(builder).suspicions == (Suspicion('other', 0),)
    builder.add_entry('other')
    assert build_digest(builder).suspicions == ()


def test_digests_never_list_a_suspect_as_alive():
    others = [entry(f'other-{number}') for number in range(9)]
    table, builder = table_and_builder(*others)
    builder.add_entry('other-7')
    table.suspect('other-7', 0, 0.0)
    digests = [build_digest(builder).entries for _ in range(20)]
    assert others[7] not in {one for entries in digests for one in entries}
    assert {len(entries) for entries in digests} <= {2, 3, 4}


def test_digest_does_not_list_its_receiver():
    other = entry('other')
    _, builder = table_and_builder(other)
    assert build_digest(builder, receiver=other).entries == ()
