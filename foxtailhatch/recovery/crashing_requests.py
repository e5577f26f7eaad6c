"""Find the request under which endpoints crash, whoever sends it and where.

A request that crashes each endpoint that begins to run it comes again, as a
repeat of an entry or as a new attempt of its caller at another one.  A crash
takes other requests with it, so a request is convicted only if it explains its
crashes better than those that were lost beside it:

- two crashes, if nothing else had been about to begin at these endpoints;
- three crashes, if no other request was lost in as many of them.

Entries report what they have lost late and in any order, so the evidence is
kept by crash, and each entry reaches the verdict by itself.
"""

from collections.abc import Collection, Iterable, Set
from dataclasses import dataclass, field

from foxtailhatch.recovery.crash_suspects import Crash

# Marks the suspects that are requests; identifiers of parts hold no colon.
REQUEST_PREFIX = 'request:'
# With fewer crashes, a request is repeated at once like any other.
SUSPECT_CRASHES = 2
CRASHES_TO_CONVICT = 3
# From this number on, requests that were lost in the same crashes are all
# convicted.
CRASHES_TO_CONVICT_RIVALS = 5
# Other entries have reported what they lost in a crash after this time: it
# covers the confirmation of the crash and one feed response.
REPORT_S = 0.6
EVIDENCE_TTL_S = 600.0
MAX_CRASHES = 1024


def request_suspect(fingerprint: str) -> str:
    """Return the name of a request among the suspects.

    >>> request_suspect('5c1e')
    'request:5c1e'
    """
    return f'{REQUEST_PREFIX}{fingerprint}'


def fingerprint_of(suspect: str) -> str:
    """Return the fingerprint of a request among the suspects."""
    return suspect.removeprefix(REQUEST_PREFIX)


def is_request(suspect: str) -> bool:
    """Return whether a suspect is a request, not a part of prompts."""
    return suspect.startswith(REQUEST_PREFIX)


@dataclass(slots=True)
class _CrashEvidence:
    """The requests that may have caused a crash; ``at`` is its first report."""

    at: float
    requests: set[str] = field(default_factory=set)


class CrashingRequests:
    """Collect which requests were lost in crashes, and convict the causes.

    >>> requests = CrashingRequests()
    >>> requests.record_crash(('e1', 1), ['bad', 'sound'], now=0.0)
    >>> requests.record_crash(('e2', 1), ['bad'], now=1.0)
    >>> requests.record_begun('sound', begun_at=1.5)
    >>> requests.convict(now=2.0)
    ['bad']
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._crashes: dict[Crash, _CrashEvidence] = {}
        self._convicted: set[str] = set()

    @property
    def is_undecided(self) -> bool:
        """Return whether a verdict may follow without further evidence."""
        return any(
            self.crash_count(name) >= SUSPECT_CRASHES for name in self._names()
        )

    def record_crash(
        self, crash: Crash, requests: Iterable[str], now: float
    ) -> None:
        """Record requests that had not begun when an endpoint crashed."""
        lost = set(requests)
        if not lost:
            return
        evidence = self._crashes.setdefault(crash, _CrashEvidence(now))
        evidence.requests |= lost
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.pop(next(iter(self._crashes)))

    def is_known(self, crash: Crash) -> bool:
        """Return whether a crash was reported."""
        return crash in self._crashes

    def record_begun(self, request: str, begun_at: float) -> None:
        """Record that a request ran, so that it caused no crash before."""
        for evidence in self._crashes.values():
            if evidence.at <= begun_at:
                evidence.requests.discard(request)

    def acquit(self, request: str) -> None:
        """Drop the evidence against a request."""
        self._convicted.discard(request)
        for evidence in self._crashes.values():
            evidence.requests.discard(request)

    def crash_count(
        self, request: str, explained: Collection[Crash] = ()
    ) -> int:
        """Return in how many crashes a request was lost that have no cause yet.

        ``explained`` are the crashes that something else has caused.
        """
        return len(self._unexplained(request, explained))

    def causes(self, crashes: Set[Crash]) -> set[Crash]:
        """Return which of the crashes of a part requests explain as well.

        A single request that was convicted, or was lost in all the others, is
        the likelier cause.  Several convicted requests with the same part are
        not: that part explains them all.
        """
        lost = {
            crash: self._crashes[crash].requests
            for crash in crashes
            if crash in self._crashes
        }
        involved = set().union(*lost.values())
        convicted = involved & self._convicted
        explained = {
            crash
            for crash, requests in lost.items()
            if len(convicted) == 1 and requests & convicted
        }
        others = [lost.get(crash, set()) for crash in crashes - explained]
        if others and set.intersection(*others):
            return set(crashes)
        return explained

    def reported_at(self, request: str) -> float:
        """Return when all entries have reported the last crash of a request."""
        times = [
            evidence.at
            for evidence in self._crashes.values()
            if request in evidence.requests
        ]
        return max(times, default=float('-inf')) + REPORT_S

    def convict(
        self, now: float, explained: Collection[Crash] = ()
    ) -> list[str]:
        """Return the requests that are newly convicted."""
        self._expire(now)
        verdicts: list[str] = []
        while True:
            causes = self._causes(now, explained)
            if not causes:
                return verdicts
            found = max(causes, key=causes.__getitem__)
            self._convicted.add(found)
            verdicts.append(found)

    def _causes(
        self, now: float, explained: Collection[Crash]
    ) -> dict[str, int]:
        """Return the requests that may be convicted, with their crashes."""
        counts = {
            name: self.crash_count(name, explained) for name in self._names()
        }
        return {
            name: count
            for name, count in counts.items()
            if self._is_cause(name, counts, now, explained)
        }

    def _is_cause(
        self,
        name: str,
        counts: dict[str, int],
        now: float,
        explained: Collection[Crash],
    ) -> bool:
        count = counts[name]
        if count < SUSPECT_CRASHES or now < self.reported_at(name):
            return False
        beside = self._beside(name, explained)
        if count < CRASHES_TO_CONVICT:
            return not beside
        is_above_others = all(counts[other] < count for other in beside)
        return is_above_others or count >= CRASHES_TO_CONVICT_RIVALS

    def _beside(self, name: str, explained: Collection[Crash]) -> set[str]:
        """Return the other requests that were lost in a request's crashes."""
        lost = [
            self._crashes[crash].requests
            for crash in self._unexplained(name, explained)
        ]
        return set().union(*lost) - self._convicted - {name}

    def _unexplained(
        self, request: str, explained: Collection[Crash]
    ) -> list[Crash]:
        return [
            crash
            for crash, evidence in self._crashes.items()
            if request in evidence.requests
            and crash not in explained
            and not evidence.requests & self._convicted - {request}
        ]

    def _names(self) -> set[str]:
        """Return the suspects that are not convicted."""
        lost = (evidence.requests for evidence in self._crashes.values())
        return set().union(*lost) - self._convicted

    def _expire(self, now: float) -> None:
        expired = [
            crash
            for crash, evidence in self._crashes.items()
            if now - evidence.at > EVIDENCE_TTL_S
        ]
        for crash in expired:
            self._crashes.pop(crash)
