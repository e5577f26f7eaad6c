import pytest

from foxtailhatch.recovery.quarantine import (
    IDLE_S,
    MAX_PARTS,
    MAX_TRIALS,
    RENEWAL_S,
    TRIAL_PAUSE_S,
    Quarantine,
)


def test_only_quarantined_parts_block():
    quarantine = Quarantine()
    quarantine.add('bad', 0)
    assert quarantine.blocking(('s', 'bad', 't')) == ['bad']
    assert quarantine.lift('bad')
    assert quarantine.blocking(('s', 'bad')) == []


def test_trials_have_growing_pauses_and_an_end():
    quarantine = Quarantine()
    quarantine.add('bad', 0)
    now, pauses = 0.0, []
    for number in range(1, MAX_TRIALS + 1):
        began = now
        while not quarantine.is_trial_due('bad', now):
            now += 1
        pauses.append(now - began)
        quarantine.add('bad', now, trials=number)
    assert pauses[0] == TRIAL_PAUSE_S
    assert pauses == sorted(pauses)
    assert not quarantine.is_trial_due('bad', now + 10 * IDLE_S)


def test_trial_of_another_entry_delays_the_next_one():
    quarantine = Quarantine()
    quarantine.add('bad', 0)
    assert quarantine.add('bad', TRIAL_PAUSE_S, trials=1)
    assert not quarantine.is_trial_due('bad', TRIAL_PAUSE_S + 1)
    assert not quarantine.add('bad', TRIAL_PAUSE_S, trials=1)


@pytest.mark.parametrize('requested_at', [None, IDLE_S - 1])
def test_part_that_nobody_asks_for_expires(requested_at):
    quarantine = Quarantine()
    quarantine.add('bad', 0)
    if requested_at:
        quarantine.record_request(('bad',), requested_at)
    expected = [] if requested_at else ['bad']
    assert quarantine.expired(IDLE_S) == expected


def test_part_that_is_asked_for_is_announced_again():
    quarantine = Quarantine()
    quarantine.add('bad', 0)
    assert quarantine.due_for_renewal(RENEWAL_S) == []
    quarantine.record_request(('bad',), 1)
    assert quarantine.due_for_renewal(RENEWAL_S) == ['bad']
    quarantine.add('bad', RENEWAL_S)
    assert quarantine.due_for_renewal(RENEWAL_S + 1) == []


def test_retry_is_advised_for_the_next_trial():
    quarantine = Quarantine()
    quarantine.add('bad', 0)
    assert quarantine.retry_after_s(('s', 'bad'), 0) == TRIAL_PAUSE_S
    quarantine.add('bad', 1, trials=MAX_TRIALS)
    assert quarantine.retry_after_s(('bad',), 2) == IDLE_S


def test_memory_is_bounded():
    quarantine = Quarantine()
    for number in range(2 * MAX_PARTS):
        quarantine.add(f'p{number}', 0)
    assert len(quarantine) == MAX_PARTS
