import pytest

from foxtailhatch.config.fold import ConfigurationFold
from foxtailhatch.config.peer_updates import (
    apply_peer_update,
    encode_peer_update,
)
from foxtailhatch.config.records import MarkRecord
from foxtailhatch.core import Mark
from tests.config.stream import append_records, publication, read_all
from tests.durable.fake_log import FakeLog

LEAVE = MarkRecord('m', 'engine-1', Mark.LEAVE)


def test_a_peer_that_lags_a_little_gets_only_the_records():
    log = FakeLog()
    append_records(log, publication(1, 'a' * 200))
    behind, _ = read_all(log)
    append_records(log, LEAVE, publication(2, 'b'))
    ahead, _ = read_all(log)
    update = encode_peer_update(ahead, behind.version)
    assert b'a' * 200 not in update
    apply_peer_update(behind, update)
    assert behind.export_state() == ahead.export_state()


def test_a_new_peer_gets_the_whole_state():
    log = FakeLog()
    append_records(log, publication(1, 'a'), LEAVE)
    first, _ = read_all(log)
    second = ConfigurationFold()
    second.adopt_state(first.export_state())
    third = ConfigurationFold()
    apply_peer_update(third, encode_peer_update(second, third.version))
    assert third.export_state() == first.export_state()


def test_a_stale_update_changes_nothing():
    log = FakeLog()
    append_records(log, publication(1, 'a'))
    stale = encode_peer_update(read_all(log)[0], 0)
    append_records(log, publication(2, 'b'))
    fold, _ = read_all(log)
    assert apply_peer_update(fold, stale) == []
    assert fold.version == 2


@pytest.mark.parametrize(
    'raw',
    [b'', b'\xff', b'\x82\x65state\x41x', b'\x82\x67records\x81\x01', b'\x05'],
)
def test_a_malformed_update_changes_nothing(raw):
    fold = ConfigurationFold()
    assert apply_peer_update(fold, raw) == []
