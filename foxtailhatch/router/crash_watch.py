"""Watch for prompts and requests that crash endpoints, with other entries.

Each entry reports what it lost in a crash, and all entries reach the verdict
from the reports of all.  Records that any entry could write are
written after a random delay, unless another entry has written them meanwhile.
"""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.recovery.crash_suspects import (
    Crash,
    CrashSuspects,
    LostPrompt,
)
from foxtailhatch.recovery.crashing_requests import (
    SUSPECT_CRASHES,
    CrashingRequests,
    fingerprint_of,
    is_request,
    request_suspect,
)
from foxtailhatch.recovery.suspect_turns import SuspectTurns
from foxtailhatch.recovery.trial_claims import TrialClaims
from foxtailhatch.relay.context import SelectedChain
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.request import RelayRequest
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.keyed_log import KeyedLog, KeyedRecord, Topic
from foxtailhatch.router.prompt_records import (
    LOST_PREFIX,
    PART_PREFIX,
    SOUND_PREFIX,
    LostRecord,
    PartRecord,
    PromptRecord,
    SoundRecord,
    decode_prompt_record,
)

# An endpoint that closed a connection is found dead within this time, or has
# not crashed.
CONFIRM_S = 3.0
# A probe of an endpoint that closed a connection has ended after this time.
PROBE_S = 0.5
# A request that was convicted is seldom sound, so its first trial is that which
# follows this many.
REQUEST_TRIALS = 1
# Upper bound on the random delay of records that any entry could write.  It
# covers the time in which the record of another entry arrives.
SPREAD_S = 0.3
# Parts with fewer crashes are far from a verdict, and need no other entry's
# knowledge.
CRASHES_TO_ACT = 2
# After the store has returned from an older copy, entries write quarantines and
# trials again that it has lost; all have read them after this time.
RESTORE_S = 2.0
# Bound on the released parts that are remembered.
MAX_RELEASED = 1024
MAX_LOGGED_PARTS = 8
# Bound on the crashes that other entries could not confirm.
MAX_UNCONFIRMED = 1024
# Records that the store did not take are written again, one at a time, until it
# takes them; the oldest are dropped.
REWRITE_S = 1.0
MAX_UNWRITTEN = 64
MAX_UNWRITTEN_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class _Loss:
    """A request that was lost before its first event, and its endpoints."""

    endpoints: tuple[LiveEndpoint, ...]
    prompt: LostPrompt
    lost_at: float


@dataclass(frozen=True, slots=True)
class _RequestLoss:
    """A request whose head closed the connection as it began."""

    head: LiveEndpoint
    suspect: str
    lost_at: float


@dataclass(slots=True)
class _UnconfirmedCrash:
    """The requests that others lost where they do not find the endpoint."""

    at: float
    requests: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _CrashReport:
    """What this entry lost in one crash."""

    prompts: list[LostPrompt] = field(default_factory=list)
    requests: list[str] = field(default_factory=list)


class CrashWatch:
    """Collect and share evidence, and keep the quarantine on the blackboard."""

    def __init__(
        self,
        board: Blackboard,
        store: KeyedLog,
        log: StructuredLog,
        random: Random,
        running: Callable[[], Iterable[Relay]],
    ) -> None:
        """Start without evidence; ``running`` returns the relays in progress."""
        self._board = board
        self._store = store
        self._log = log
        self._random = random
        self._running = running
        self._suspects = CrashSuspects()
        self._requests = CrashingRequests()
        self._turns = SuspectTurns()
        self._losses: list[_Loss] = []
        self._request_losses: list[_RequestLoss] = []
        # Endpoints that no probe has found, and when; nobody could tell whether
        # they are out of reach of this entry alone.
        self._unanswered: dict[Crash, float] = {}
        self._unshared: set[Crash] = set()
        # Requests that other entries lost at endpoints which they do not find.
        self._unconfirmed: dict[Crash, _UnconfirmedCrash] = {}
        self._sound_due: dict[str, float] = {}
        self._parts_due: dict[str, float] = {}
        self._releases_due: dict[str, float] = {}
        self._released: dict[str, float] = {}
        self._claims = TrialClaims()
        self._tasks: set[asyncio.Future[None]] = set()
        self._unwritten: deque[tuple[str, bytes | None]] = deque(
            maxlen=MAX_UNWRITTEN
        )
        self._rewrite_at = float('-inf')

    @property
    def has_unwritten_records(self) -> bool:
        """Return whether the store lacks a quarantine or its end."""
        due = (self._parts_due, self._releases_due)
        return any(due) or bool(self._unwritten) or bool(self._tasks)

    @property
    def is_idle(self) -> bool:
        """Return whether there is nothing to confirm, decide or write."""
        due = (self._sound_due, self._parts_due, self._releases_due)
        has_losses = bool(
            self._losses or self._request_losses or self._unconfirmed
        )
        is_undecided = (
            self._suspects.is_undecided or self._requests.is_undecided
        )
        has_records = any(due) or bool(self._unwritten)
        is_waiting = has_losses or is_undecided or has_records
        return not (is_waiting or len(self._board.quarantine))

    def record_begun(self, req: RelayRequest, now: float) -> None:
        """Record the first event of an attempt, which clears the prompt."""
        for part in req.shared_parts:
            if self._lift(part, 'begun', now):
                self._releases_due[part] = now
                self._sound_due[part] = now
            elif self._suspects.crash_count(part) >= CRASHES_TO_ACT:
                self._sound_due.setdefault(part, self._spread(now))
        self._suspects.record_begun(req.shared_parts, now)
        self.end_turn(req)

    def record_sound(self, req: RelayRequest, now: float) -> None:
        """Record that an attempt ended well or has run for a while."""
        suspect = request_suspect(req.fingerprint)
        if self._lift(suspect, 'begun', now):
            self._releases_due[suspect] = now
        if self._requests.crash_count(suspect) >= CRASHES_TO_ACT:
            self._sound_due.setdefault(suspect, now)
        self._requests.record_begun(suspect, now)
        self.end_turn(req)

    def record_request_lost(
        self, head: LiveEndpoint, req: RelayRequest, now: float
    ) -> None:
        """Record that a head closed the connection as a request began."""
        self.end_turn(req)
        if req.fingerprint:
            suspect = request_suspect(req.fingerprint)
            self._request_losses.append(_RequestLoss(head, suspect, now))

    def record_unanswered(self, endpoint: LiveEndpoint, now: float) -> None:
        """Record that no probe found an endpoint, and no other one answered.

        All endpoints of a service may have crashed, or this entry is cut off.
        What it lost there counts as a crash for those who do not find the endpoint
        either.
        """
        crash = _crash_of(endpoint)
        self._unanswered[crash] = now
        self._unshared.add(crash)

    def may_repeat(self, req: RelayRequest, now: float) -> bool:
        """Return whether a request that was lost may be sent again now.

        One that was lost in several crashes waits until all entries have
        reported what they lost beside it, and then for its turn.  Losses that
        may still be crashes count.
        """
        suspect = request_suspect(req.fingerprint)
        count = self._requests.crash_count(suspect, self._suspects.explained)
        lost = self._maybe_crashed(suspect, now)
        count += len(lost)
        if count < SUSPECT_CRASHES:
            return True
        if lost or now < self._requests.reported_at(suspect):
            return False
        return self._turns.take(suspect, now)

    def end_turn(self, req: RelayRequest) -> None:
        """Record that a request has begun or ended."""
        self._turns.end(request_suspect(req.fingerprint))

    def record_lost(
        self, chosen: SelectedChain, req: RelayRequest, now: float
    ) -> None:
        """Record that a request was lost before the first event."""
        if not req.shared_parts:
            return
        endpoints = tuple(stage.endpoint for stage in chosen)
        prompt = LostPrompt(req.prompt_parts[-1], req.shared_parts)
        self._losses.append(_Loss(endpoints, prompt, now))

    def is_blocked(self, req: RelayRequest) -> bool:
        """Return whether the request or a part of it is quarantined."""
        return bool(self._board.quarantine.blocking(req.suspects))

    def is_cleared(self, req: RelayRequest) -> bool:
        """Return whether requests with each part that is shared have begun."""
        now = self._board.clock()
        return all(
            self._suspects.is_sound(part, now) for part in req.shared_parts
        )

    def take_trial(self, parts: Sequence[str], now: float) -> bool:
        """Return whether a request with quarantined parts is sent as a trial.

        A trial with several quarantined parts would not tell them apart.  A
        claim in the log decides which entry may begin the next trial.
        """
        if len(parts) != 1:
            return False
        part = parts[0]
        if self._claims.take(part, now):
            return True
        quarantine = self._board.quarantine
        if quarantine.is_trial_due(part, now) and self._claims.claim(part, now):
            self._write_part(part, quarantine.trials(part) + 1)
        return False

    def apply(
        self,
        records: Iterable[KeyedRecord],
        *,
        is_snapshot: bool,
        is_restored: bool = False,
    ) -> None:
        """Apply the records of all entries, of a snapshot only quarantines.

        If the store ``is_restored``, the snapshot is an older copy of it.
        """
        now = self._board.clock()
        if not is_snapshot:
            for record in records:
                self._apply_record(record.key, record.value, now)
            return
        quarantined = self._quarantined(records)
        if is_restored:
            self._claims.hold(now + RESTORE_S)
            quarantined = self._restate(quarantined, now)
        for listed in quarantined:
            self._apply_part(listed, now, may_grant=False)

    def _restate(
        self, listed: list[PartRecord], now: float
    ) -> list[PartRecord]:
        """Plan to write again what a copy lacks; return what still holds."""
        copied = {record.part: record.trials for record in listed}
        for part, trials in self._board.quarantine.all_trials().items():
            if copied.get(part, -1) < trials:
                self._parts_due.setdefault(part, self._spread(now))
        for part in self._released.keys() & copied.keys():
            self._releases_due.setdefault(part, self._spread(now))
        return [
            record for record in listed if record.part not in self._released
        ]

    async def step(self) -> None:
        """Confirm crashes, reach verdicts and write what is due."""
        if self.is_idle:
            return
        now = self._board.clock()
        self._confirm_losses(now)
        self._convict(now)
        for part in self._board.quarantine.expired(now):
            self._release(part, now)
            self._releases_due[part] = self._spread(now)
        for part in self._board.quarantine.due_for_renewal(now):
            self._parts_due.setdefault(part, self._spread(now))
        self._write_due(now)

    def _quarantined(self, records: Iterable[KeyedRecord]) -> list[PartRecord]:
        """Return the quarantined parts in a snapshot."""
        decoded = (
            self._decode(record.key, record.value)
            for record in records
            if record.key.startswith(PART_PREFIX) and record.value is not None
        )
        return [record for record in decoded if isinstance(record, PartRecord)]

    def _decode(self, key: str, raw: bytes) -> PromptRecord | None:
        """Return the record, or write a line if it is malformed."""
        decoded = decode_prompt_record(key, raw)
        if isinstance(decoded, Success):
            record: PromptRecord = decoded.unwrap()
            return record
        self._log.write(
            'observation_unreadable', key=key, why=decoded.failure()
        )
        return None

    def _apply_record(self, key: str, raw: bytes | None, now: float) -> None:
        if raw is None:
            self._release(key.removeprefix(PART_PREFIX), now)
            return
        record = self._decode(key, raw)
        is_own = key == f'{LOST_PREFIX}{self._entry}'
        if isinstance(record, LostRecord) and not record.is_confirmed:
            if not is_own:
                self._note_unconfirmed(record, now)
        elif record is not None:
            self._apply(record, now)

    def _note_unconfirmed(self, record: LostRecord, now: float) -> None:
        """Keep what another entry lost at an endpoint that it does not find."""
        crash = (record.endpoint, record.incarnation)
        known = self._unconfirmed.setdefault(crash, _UnconfirmedCrash(now))
        known.at = now
        known.requests.update(map(request_suspect, record.requests))
        while len(self._unconfirmed) > MAX_UNCONFIRMED:
            self._unconfirmed.pop(next(iter(self._unconfirmed)))

    def _apply(self, record: PromptRecord, now: float) -> None:
        if isinstance(record, LostRecord):
            crash = (record.endpoint, record.incarnation)
            self._suspects.record_crash(crash, record.prompts, now)
            self._requests.record_crash(
                crash, map(request_suspect, record.requests), now
            )
            self._offer_knowledge(record.prompts, now)
            self._convict(now)
        elif isinstance(record, SoundRecord):
            for part, age_s in record.ages_s.items():
                self._sound_due.pop(part, None)
                if is_request(part):
                    self._requests.record_begun(part, now - age_s)
                else:
                    self._suspects.record_sound(part, now - age_s)
            self._convict(now)
        else:
            self._apply_part(record, now)

    def _apply_part(
        self, record: PartRecord, now: float, *, may_grant: bool = True
    ) -> None:
        part = record.part
        self._released.pop(part, None)
        known_trials = self._board.quarantine.trials(part)
        self._parts_due.pop(part, None)
        if not self._board.quarantine.add(part, now, record.trials):
            return
        is_claim = record.trials > known_trials
        if may_grant and is_claim and record.entry == self._board.cfg.instance:
            self._claims.grant(part, now)
        self._log.write(
            'part_quarantined',
            part=part,
            by=record.entry,
            trials=record.trials,
        )
        self._stop_requests(part)

    def _offer_knowledge(
        self, prompts: Iterable[LostPrompt], now: float
    ) -> None:
        """Plan to tell other entries which suspected parts are sound."""
        suspected = {part for prompt in prompts for part in prompt.parts}
        for part in suspected:
            count = self._suspects.crash_count(part)
            if count >= CRASHES_TO_ACT and self._suspects.is_sound(part, now):
                self._sound_due.setdefault(part, self._spread(now))

    def _maybe_crashed(self, suspect: str, now: float) -> set[Crash]:
        """Return where a request was lost, if that may still be a crash.

        The endpoint is found dead soon, or was found alive.
        """
        return {
            _crash_of(loss.head)
            for loss in self._request_losses
            if loss.suspect == suspect and now - loss.lost_at <= PROBE_S
        }

    def _confirm_losses(self, now: float) -> None:
        reports: dict[Crash, _CrashReport] = defaultdict(_CrashReport)
        self._confirm_lost_prompts(reports, now)
        self._confirm_lost_requests(reports, now)
        for crash, report in reports.items():
            self._suspects.record_crash(crash, report.prompts, now)
            self._requests.record_crash(crash, report.requests, now)
            self._report(crash, report, now)

    def _confirm_lost_prompts(
        self, reports: dict[Crash, _CrashReport], now: float
    ) -> None:
        waiting = []
        for loss in self._losses:
            crashed = list(filter(self._has_crashed, loss.endpoints))
            for endpoint in crashed:
                reports[_crash_of(endpoint)].prompts.append(loss.prompt)
            if not crashed and now - loss.lost_at <= CONFIRM_S:
                waiting.append(loss)
        self._losses = waiting

    def _confirm_lost_requests(
        self, reports: dict[Crash, _CrashReport], now: float
    ) -> None:
        waiting = []
        self._confirm_lost_elsewhere(now)
        repeated = self._lost_repeatedly()
        for loss in self._request_losses:
            if self._has_crashed(loss.head) or self._is_crash(loss, repeated):
                reports[_crash_of(loss.head)].requests.append(loss.suspect)
            elif now - loss.lost_at <= CONFIRM_S:
                waiting.append(loss)
        self._request_losses = waiting
        self._share_unconfirmed(waiting)
        self._unanswered = {
            crash: at
            for crash, at in self._unanswered.items()
            if now - at <= CONFIRM_S
        }

    def _share_unconfirmed(self, losses: Iterable[_RequestLoss]) -> None:
        """Tell other entries what was lost at endpoints that are not found."""
        lost: dict[Crash, list[str]] = defaultdict(list)
        for loss in losses:
            crash = _crash_of(loss.head)
            if crash in self._unshared:
                lost[crash].append(fingerprint_of(loss.suspect))
        self._unshared.clear()
        for crash, requests in lost.items():
            record = LostRecord(*crash, (), tuple(requests), is_confirmed=False)
            self._put(f'{LOST_PREFIX}{self._entry}', record.encode())

    def _confirm_lost_elsewhere(self, now: float) -> None:
        """Count what others lost at endpoints that this entry misses as well."""
        waiting = {}
        for crash, reported in self._unconfirmed.items():
            if crash in self._unanswered or self._is_gone(crash):
                self._requests.record_crash(crash, reported.requests, now)
            elif now - reported.at <= CONFIRM_S:
                waiting[crash] = reported
        self._unconfirmed = waiting

    def _lost_repeatedly(self) -> set[str]:
        """Return the requests that were lost at several endpoints."""
        heads: dict[str, set[Crash]] = defaultdict(set)
        for loss in self._request_losses:
            heads[loss.suspect].add(_crash_of(loss.head))
        return {
            suspect
            for suspect, lost in heads.items()
            if len(lost) + self._requests.crash_count(suspect)
            >= SUSPECT_CRASHES
        }

    def _is_crash(self, loss: _RequestLoss, repeated: set[str]) -> bool:
        """Return whether a loss is a crash although no endpoint bears witness.

        Another entry has reported it, or the request was lost at one endpoint
        after the other.  An entry that is cut off loses a request once: it
        reaches no other endpoint.
        """
        crash = _crash_of(loss.head)
        if self._requests.is_known(crash):
            return True
        return crash in self._unanswered and loss.suspect in repeated

    def _has_crashed(self, endpoint: LiveEndpoint) -> bool:
        table = self._board.endpoints
        if table.draining_for(endpoint, self._board.clock()) is not None:
            return False
        return self._is_gone(_crash_of(endpoint))

    def _is_gone(self, crash: Crash) -> bool:
        """Return whether an incarnation is not listed any more, or dead."""
        name, incarnation = crash
        table = self._board.endpoints
        known = table.get(name)
        is_gone = known is None or known.incarnation != incarnation
        return is_gone or table.is_dead(name)

    def _report(self, crash: Crash, report: _CrashReport, now: float) -> None:
        """Report the requests and parts that may have caused a crash."""
        suspected = [
            LostPrompt(
                prompt.own,
                tuple(
                    part
                    for part in prompt.parts
                    if not self._suspects.is_sound(part, now)
                    or self._suspects.crash_count(part) >= CRASHES_TO_ACT
                ),
            )
            for prompt in report.prompts
        ]
        named = tuple(prompt for prompt in suspected if prompt.parts)
        endpoint, incarnation = crash
        self._log.write(
            'crash_suspects',
            endpoint=endpoint,
            born=incarnation,
            lost=len(report.prompts),
            requests=report.requests[:MAX_LOGGED_PARTS],
            parts=sorted({part for one in named for part in one.parts})[
                :MAX_LOGGED_PARTS
            ],
        )
        if named or report.requests:
            fingerprints = tuple(map(fingerprint_of, report.requests))
            record = LostRecord(endpoint, incarnation, named, fingerprints)
            self._put(f'{LOST_PREFIX}{self._entry}', record.encode())

    def _convict(self, now: float) -> None:
        explained = self._suspects.explained
        for request in self._requests.convict(now, explained):
            crashes = self._requests.crash_count(request)
            self._quarantine(request, crashes, now, REQUEST_TRIALS)
        for part in self._suspects.convict(now, self._requests.causes):
            crashes = self._suspects.crash_count(part)
            self._quarantine(part, crashes, now)

    def _quarantine(
        self, part: str, crashes: int, now: float, trials: int = 0
    ) -> None:
        if not self._board.quarantine.add(part, now, trials):
            return
        self._log.write(
            'part_quarantined', part=part, by=self._entry, crashes=crashes
        )
        self._parts_due[part] = self._spread(now)
        self._stop_requests(part)

    def _stop_requests(self, part: str) -> None:
        """End the requests with a part that have brought no event yet."""
        for relay in tuple(self._running()):
            if part in relay.admitted.req.suspects:
                relay.stop_before_event()

    def _release(self, part: str, now: float) -> None:
        self._suspects.acquit(part)
        self._requests.acquit(part)
        self._releases_due.pop(part, None)
        self._parts_due.pop(part, None)
        self._claims.forget(part)
        self._lift(part, 'record', now)

    def _lift(self, part: str, why: str, now: float) -> bool:
        """Release a part; return whether it was quarantined."""
        if not self._board.quarantine.lift(part):
            return False
        self._released[part] = now
        while len(self._released) > MAX_RELEASED:
            self._released.pop(next(iter(self._released)))
        self._log.write('part_released', part=part, why=why)
        return True

    def _write_due(self, now: float) -> None:
        sound = _take_due(self._sound_due, now)
        if sound:
            ages_s = {
                part: round(now - self._suspects.sound_at(part), 2)
                for part in sound
                if self._suspects.is_sound(part, now)
            }
            ages_s.update(
                (request, float(0)) for request in filter(is_request, sound)
            )
            self._put(
                f'{SOUND_PREFIX}{self._entry}', SoundRecord(ages_s).encode()
            )
        for part in _take_due(self._parts_due, now):
            self._write_part(part, self._board.quarantine.trials(part))
        for part in _take_due(self._releases_due, now):
            self._put(f'{PART_PREFIX}{part}', None)
        if self._unwritten and now >= self._rewrite_at:
            self._rewrite_at = now + REWRITE_S
            self._rewrite(*self._unwritten.popleft())

    def _rewrite(self, key: str, raw: bytes | None) -> None:
        """Write a record that the store did not take, if it still holds."""
        part = key.removeprefix(PART_PREFIX)
        is_quarantined = bool(self._board.quarantine.blocking((part,)))
        if not key.startswith(PART_PREFIX) or is_quarantined == bool(raw):
            self._put(key, raw)

    def _write_part(self, part: str, trials: int) -> None:
        record = PartRecord(part, trials, self._entry)
        self._put(f'{PART_PREFIX}{part}', record.encode())

    @property
    def _entry(self) -> str:
        return self._board.cfg.instance

    def _spread(self, now: float) -> float:
        return now + self._random.uniform(0, SPREAD_S)

    def _put(self, key: str, raw: bytes | None) -> None:
        task = asyncio.ensure_future(self._write(key, raw))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, key: str, raw: bytes | None) -> None:
        written = await self._store.put(Topic.OBSERVATIONS, key, raw)
        if isinstance(written, Success):
            self._rewrite_at = float('-inf')
        else:
            self._unwritten.append((key, raw))
            while _size_bytes(self._unwritten) > MAX_UNWRITTEN_BYTES:
                self._unwritten.popleft()
            self._log.write(
                'observation_not_written',
                endpoint=key,
                fault=written.failure().value,
            )


def _crash_of(endpoint: LiveEndpoint) -> Crash:
    return endpoint.name, endpoint.incarnation


def _size_bytes(records: Iterable[tuple[str, bytes | None]]) -> int:
    return sum(len(key) + len(raw or b'') for key, raw in records)


def _take_due(due: dict[str, float], now: float) -> list[str]:
    """Remove and return the parts whose time has come."""
    taken = [part for part, due_at in due.items() if due_at <= now]
    for part in taken:
        due.pop(part)
    return taken
