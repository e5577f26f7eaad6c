"""Find the part of a prompt under which endpoints crash.

An endpoint that crashes takes all requests with it that it runs.  Those that
have brought an event did not cause the crash; the others are suspects.  A part
that suspects of several crashes have in common, and that no request has begun
with, is convicted: requests with it would crash one endpoint after the other.

Reports of crashes and of parts that are sound come from all entries, late and
in any order, so evidence is kept by crash and each entry reaches the verdict
by itself.
"""

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass, field
from typing import Any

# Two crashes may share a sound part by chance, as the requests of one crashed
# endpoint often go on to the next together.
CRASHES_TO_CONVICT = 3
# The parts of a single prompt cannot be told apart.
PROMPTS_TO_CONVICT = 2
# A part that requests have begun with is likely to be beside the cause.
CRASHES_TO_CONVICT_KNOWN = 6
# While several parts explain the same crashes, other entries have this long to
# report those that they know to be sound: two long polls of the feed.
RIVALRY_S = 1.0
EVIDENCE_TTL_S = 600.0
MAX_PARTS = 4096

Crash = tuple[str, int]
# Returns which of some crashes have another cause than a part of prompts.
OtherCauses = Callable[[Set[Crash]], set[Crash]]


def no_other_causes(crashes: Set[Crash]) -> set[Crash]:
    """Return no crash."""
    return set()


@dataclass(frozen=True, slots=True)
class LostPrompt:
    """The prompt of a request that was lost before its first event.

    ``own`` tells prompts apart; ``parts`` are those that others may share.
    """

    own: str
    parts: tuple[str, ...]


@dataclass(slots=True)
class _Evidence:
    """The crashes that a part may have caused, with their times and prompts."""

    crashes: dict[Crash, float] = field(default_factory=dict)
    prompts: dict[Crash, set[str]] = field(default_factory=dict)
    depth: int = 0
    convictable_since: float | None = None

    def add(self, crash: Crash, own: str, now: float) -> None:
        self.crashes.setdefault(crash, now)
        self.prompts.setdefault(crash, set()).add(own)

    def keep_after(self, time: float) -> None:
        """Drop the crashes up to a time."""
        self.crashes = {
            crash: at for crash, at in self.crashes.items() if at > time
        }
        self.prompts = {crash: self.prompts[crash] for crash in self.crashes}


class CrashSuspects:
    """Collect evidence, and convict the parts that explain the crashes.

    >>> suspects = CrashSuspects()
    >>> for number, name in enumerate(('e1', 'e2', 'e3')):
    ...     lost = [LostPrompt(f'own-{number}', ('shared', 'bad'))]
    ...     suspects.record_crash((name, 1), lost, now=20.0 + number)
    >>> suspects.record_begun(('shared',), now=22.5)
    >>> suspects.convict(now=23.0)
    ['bad']
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._evidence: dict[str, _Evidence] = {}
        self._sound_at: dict[str, float] = {}
        self._convicted: set[str] = set()

    def record_crash(
        self, crash: Crash, lost: Iterable[LostPrompt], now: float
    ) -> None:
        """Record the prompts that an endpoint had not begun when it crashed.

        A crash may be recorded several times, as each entry knows only its own
        requests.
        """
        for prompt in lost:
            for depth, part in enumerate(prompt.parts):
                evidence = self._evidence.setdefault(part, _Evidence())
                evidence.depth = max(evidence.depth, depth)
                evidence.add(crash, prompt.own, now)
        _trim(self._evidence)

    def record_begun(self, parts: Iterable[str], now: float) -> None:
        """Record that a request with these parts brought an event."""
        for part in parts:
            self.record_sound(part, now)

    def record_sound(self, part: str, sound_at: float) -> None:
        """Record that a request with this part brought an event at a time."""
        if sound_at <= self.sound_at(part):
            return
        self._sound_at.pop(part, None)
        self._sound_at[part] = sound_at
        _trim(self._sound_at)
        evidence = self._evidence.get(part)
        if evidence is None:
            return
        evidence.keep_after(sound_at)
        if not evidence.crashes:
            self._evidence.pop(part)
        if len(evidence.crashes) < CRASHES_TO_CONVICT_KNOWN:
            evidence.convictable_since = None
            self._convicted.discard(part)

    def sound_at(self, part: str) -> float:
        """Return when a request with a part last brought an event."""
        return self._sound_at.get(part, float('-inf'))

    def is_sound(self, part: str, now: float) -> bool:
        """Return whether a request with a part has recently begun."""
        return now - self.sound_at(part) <= EVIDENCE_TTL_S

    def crash_count(self, part: str) -> int:
        """Return the number of crashes that a part may have caused."""
        evidence = self._evidence.get(part)
        return 0 if evidence is None else len(evidence.crashes)

    @property
    def is_undecided(self) -> bool:
        """Return whether a verdict waits for what other entries report."""
        return any(
            evidence.convictable_since is not None
            for part, evidence in self._evidence.items()
            if part not in self._convicted
        )

    @property
    def explained(self) -> set[Crash]:
        """Return the crashes that convicted parts have caused."""
        return {
            crash
            for part in self._convicted
            for crash in self._evidence.get(part, _Evidence()).crashes
        }

    def acquit(self, part: str) -> None:
        """Drop the evidence against a part."""
        self._evidence.pop(part, None)
        self._convicted.discard(part)

    def convict(
        self, now: float, other_causes: OtherCauses = no_other_causes
    ) -> list[str]:
        """Return the parts that are newly convicted.

        Of several parts with the same crashes one is convicted, and the others
        count only with the crashes that it does not explain.
        ``other_causes`` tells which crashes no part needs to explain.
        """
        self._expire(now)
        verdicts: list[str] = []
        while True:
            part = self._next_verdict(now, other_causes)
            if part is None:
                return verdicts
            self._convicted.add(part)
            verdicts.append(part)

    def _next_verdict(
        self, now: float, other_causes: OtherCauses
    ) -> str | None:
        explained = self.explained
        unexplained = {
            part: evidence.crashes.keys() - explained
            for part, evidence in self._evidence.items()
            if part not in self._convicted
        }
        without_cause = {
            part: crashes - other_causes(crashes)
            for part, crashes in unexplained.items()
        }
        ready = {
            part: crashes
            for part, crashes in without_cause.items()
            if self._is_convictable(part, crashes, now)
        }
        if not ready:
            return None
        chosen = max(ready, key=lambda part: self._weight(part, ready, now))
        rivals = [
            part
            for part, crashes in ready.items()
            if part != chosen and crashes & ready[chosen]
        ]
        evidence = self._evidence[chosen]
        if evidence.convictable_since is None:
            evidence.convictable_since = now
        if rivals and now - evidence.convictable_since < RIVALRY_S:
            return None
        return chosen

    def _is_convictable(
        self,
        part: str,
        crashes: set[Crash],
        now: float,
    ) -> bool:
        evidence = self._evidence[part]
        needed = CRASHES_TO_CONVICT
        if self.is_sound(part, now):
            needed = CRASHES_TO_CONVICT_KNOWN
        if len(crashes) < needed:
            return False
        prompts = {own for crash in crashes for own in evidence.prompts[crash]}
        return len(prompts) >= PROMPTS_TO_CONVICT

    def _weight(
        self, part: str, ready: dict[str, set[Crash]], now: float
    ) -> tuple[bool, int, int]:
        """Return the order of likelihood: unknown, crashes, place in prompts.

        Parts that come later are shared by fewer requests.
        """
        is_unknown = not self.is_sound(part, now)
        return is_unknown, len(ready[part]), self._evidence[part].depth

    def _expire(self, now: float) -> None:
        for part, evidence in tuple(self._evidence.items()):
            evidence.keep_after(now - EVIDENCE_TTL_S)
            if not evidence.crashes:
                self.acquit(part)


def _trim(by_part: dict[str, Any]) -> None:
    while len(by_part) > MAX_PARTS:
        by_part.pop(next(iter(by_part)))
