"""A query of death among sound requests, as several entries see it late."""

from random import Random

import pytest

from foxtailhatch.recovery.crash_suspects import (
    CRASHES_TO_CONVICT,
    CRASHES_TO_CONVICT_KNOWN,
    EVIDENCE_TTL_S,
    MAX_PARTS,
    RIVALRY_S,
    CrashSuspects,
    LostPrompt,
)


def lose(suspects, crash, *prompts, now=0.0):
    lost = [LostPrompt(own, tuple(parts)) for own, *parts in prompts]
    suspects.record_crash((crash, 1), lost, now)


class Fleet:
    """Entries that share their reports with a delay, and engines that crash."""

    def __init__(self, entries, seed, delay_s=0.5):
        self.random = Random(seed)
        self.entries = [CrashSuspects() for _ in range(entries)]
        self.delay_s = delay_s
        self.pending = []
        self.convicted = set()
        self.crashes = 0
        self.now = 100.0

    def advance(self, seconds):
        self.now += seconds
        due = [report for report in self.pending if report[0] <= self.now]
        self.pending = [
            report for report in self.pending if report[0] > self.now
        ]
        for _, sender, apply in due:
            for entry in self.entries:
                if entry is not sender:
                    apply(entry)
        for entry in self.entries:
            self.convicted.update(entry.convict(self.now))

    def serve(self, parts):
        entry = self.random.choice(self.entries)
        entry.record_begun(parts, self.now)

    def crash(self, prompts):
        """Lose the prompts that one engine has from several entries."""
        self.crashes += 1
        crash, now = (f'e{self.crashes}', 1), self.now
        at_entry = {}
        for prompt in prompts:
            index = self.random.randrange(len(self.entries))
            at_entry.setdefault(index, []).append(prompt)
        for index, lost in at_entry.items():
            entry = self.entries[index]
            entry.record_crash(crash, lost, now)
            self.share(
                entry,
                lambda other, lost=lost: other.record_crash(crash, lost, now),
            )
        for entry in self.entries:
            for part in {part for one in prompts for part in one.parts}:
                if entry.is_sound(part, now):
                    sound_at = entry.sound_at(part)
                    self.share(
                        entry,
                        lambda other, part=part, at=sound_at: (
                            other.record_sound(part, at)
                        ),
                    )

    def share(self, sender, apply):
        delay_s = self.random.uniform(0.1, self.delay_s)
        self.pending.append((self.now + delay_s, sender, apply))


# Guards against a part that crashes engines and is never recognized, and
# against sound parts that are taken for it.
@pytest.mark.parametrize('entries', [3, 39, 195])
@pytest.mark.parametrize('seed', range(8))
def test_only_the_crashing_part_of_a_cascade_is_convicted(entries, seed):
    fleet = Fleet(entries, seed)
    shared = [f's{number}' for number in range(60)]
    for _ in range(600):
        fleet.serve((fleet.random.choice(shared),))
        fleet.now += 0.03
    number = 0
    while 'bad' not in fleet.convicted and fleet.crashes < 20:
        prompts = []
        for _ in range(fleet.random.randrange(12)):
            number += 1
            part = fleet.random.choice(shared)
            prompts.append(LostPrompt(f'own{number}', (part,)))
        for _ in range(2):
            number += 1
            part = fleet.random.choice(shared)
            prompts.append(LostPrompt(f'own{number}', (part, 'bad')))
        fleet.crash(prompts)
        fleet.advance(fleet.random.uniform(0.05, 0.6))
    assert fleet.convicted == {'bad'}
    fleet.advance(1)
    assert all('bad' not in entry.convict(fleet.now) for entry in fleet.entries)


def test_requests_seen_one_by_one_at_different_entries_convict_their_part():
    fleet = Fleet(5, seed=1)
    for number in range(CRASHES_TO_CONVICT):
        fleet.crash([LostPrompt(f'own{number}', ('s', 'bad'))])
        fleet.serve(('s',))
        fleet.advance(20)
    assert fleet.convicted == {'bad'}


def test_crashes_among_sound_parts_convict_none():
    fleet = Fleet(7, seed=2)
    shared = [f's{number}' for number in range(60)]
    for _ in range(400):
        fleet.serve((fleet.random.choice(shared),))
    for number in range(40):
        fleet.crash(
            [
                LostPrompt(f'o{number}-{index}', (fleet.random.choice(shared),))
                for index in range(10)
            ]
        )
        for _ in range(40):
            fleet.serve((fleet.random.choice(shared),))
        fleet.advance(0.5)
    assert fleet.convicted == set()


def test_one_prompt_alone_convicts_none_of_its_parts():
    suspects = CrashSuspects()
    for name in ('e1', 'e2', 'e3', 'e4'):
        lose(suspects, name, ('own', 's', 't'))
    assert suspects.convict(now=5) == []


def test_part_that_began_after_the_crashes_is_acquitted():
    suspects = CrashSuspects()
    for number, name in enumerate(('e1', 'e2', 'e3')):
        lose(suspects, name, (f'own{number}', 's'), now=number)
    suspects.record_begun(('s',), now=3)
    assert suspects.convict(now=4) == []
    assert suspects.crash_count('s') == 0


def test_crashes_that_a_convicted_part_explains_count_for_no_other():
    suspects = CrashSuspects()
    for number, name in enumerate(('e1', 'e2', 'e3')):
        lose(suspects, name, (f'own{number}', 's', 'bad'), now=number)
    assert suspects.convict(now=3) == []
    assert suspects.convict(now=3 + RIVALRY_S) == ['bad']
    assert suspects.convict(now=9) == []


def test_wrong_verdict_is_replaced_once_the_part_is_known_to_be_sound():
    suspects = CrashSuspects()
    for number, name in enumerate(('e1', 'e2', 'e3')):
        lose(suspects, name, (f'own{number}', 'bad', 's'), now=number)
    suspects.convict(now=3)
    assert suspects.convict(now=3 + RIVALRY_S) == ['s']
    suspects.record_sound('s', sound_at=5)
    assert suspects.convict(now=5) == ['bad']


def test_part_that_has_turned_harmful_needs_more_crashes():
    suspects = CrashSuspects()
    suspects.record_begun(('s',), now=0)
    for number in range(CRASHES_TO_CONVICT_KNOWN):
        assert suspects.convict(now=number) == []
        lose(suspects, f'e{number}', (f'own{number}', 's'), now=number + 1)
    assert suspects.convict(now=20) == ['s']


def test_old_evidence_expires_and_memory_is_bounded():
    suspects = CrashSuspects()
    for number, name in enumerate(('e1', 'e2', 'e3')):
        now = number * EVIDENCE_TTL_S
        lose(suspects, name, (f'own{number}', 's'), now=now)
        assert suspects.convict(now=now + 1) == []
    for number in range(2 * MAX_PARTS):
        lose(suspects, 'e9', ('own', f'p{number}'))
        suspects.record_begun((f'q{number}',), now=1)
    assert len(suspects._evidence) <= MAX_PARTS
    assert len(suspects._sound_at) <= MAX_PARTS
