"""All claim streams of one entry behind one interface.

An entry follows some parts of the claims, or all where there are few.  It
sends a request on to a reader of its part, or follows that part itself; who
follows what has no bearing on safety.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure, Result

from foxtailhatch.core import Refusal
from foxtailhatch.durable import claim_refusals as refusals
from foxtailhatch.durable.claim_records import Outcome
from foxtailhatch.durable.claim_requests import (
    ClaimRequest,
    Decision,
    MayRun,
    Refuse,
    SendRight,
)
from foxtailhatch.durable.claim_settings import ClaimSettings
from foxtailhatch.durable.claims import ClaimController
from foxtailhatch.durable.follower import LogFollower, ReadStream
from foxtailhatch.durable.keys import part_of, part_stream
from foxtailhatch.durable.sends import Sends
from foxtailhatch.outside import LogPage, PlatformFault

IDLE_POLL_S = 10.0
BUSY_POLL_S = 0.2


@dataclass(frozen=True, slots=True)
class AppendClaims:
    """Append ``body`` to a claim stream and report how it went."""

    stream: str
    batch: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotFollowed:
    """This entry does not follow the part that the key belongs to."""

    part: int


@dataclass(slots=True)
class FollowedPart:
    """One stream: its claims and the pace of its reader."""

    claims: ClaimController
    follower: LogFollower


ClaimAction = ReadStream | AppendClaims


class ClaimDesk:
    """What the daemon uses to run requests at most once."""

    def __init__(
        self,
        run_id: str,
        cfg: ClaimSettings,
        rng: random.Random,
    ) -> None:
        """Follow no part yet; ``run_id`` differs at every start."""
        self._run_id = run_id
        self._cfg = cfg
        self._rng = rng
        self._parts: dict[str, FollowedPart] = {}
        self._where: dict[str, str] = {}

    @property
    def followed(self) -> frozenset[int]:
        """Return the numbers of the parts that this entry follows."""
        return frozenset(
            part
            for part in range(self._cfg.parts)
            if part_stream(part) in self._parts
        )

    def follow(self, parts: Iterable[int]) -> None:
        """Begin to follow parts; those followed already go on."""
        for part in parts:
            stream = part_stream(part)
            if stream in self._parts:
                continue
            self._parts[stream] = FollowedPart(
                ClaimController(f'{self._run_id}/{part}', self._cfg),
                LogFollower(stream, self._rng, IDLE_POLL_S),
            )

    def begin(
        self,
        now: float,
        req: ClaimRequest,
        log_up: bool,
    ) -> Decision | NotFollowed | None:
        """Take a request in; ``None`` says that the decision comes later."""
        part = part_of(req.owner.account, req.owner.key, self._cfg.parts)
        stream = part_stream(part)
        followed = self._parts.get(stream)
        if followed is None:
            return NotFollowed(part)
        self._where[req.request_id] = stream
        decision = followed.claims.begin(now, req, log_up)
        self._forget_refused([] if decision is None else [decision])
        return decision

    def actions(self, now: float) -> list[ClaimAction]:
        """Return the reads and appends that are due at ``now``."""
        found: list[ClaimAction] = []
        for stream, part in self._parts.items():
            append = part.claims.outbox.next_append(now)
            if append:
                found.append(AppendClaims(stream, append.batch, append.body))
            if part.claims.is_waiting:
                part.follower.hurry(now, BUSY_POLL_S)
            wanted = part.claims.table.wanted
            read = part.follower.next_read(now, wanted)
            if read:
                found.append(read)
        return found

    def step(self, now: float, log_up: bool) -> list[Decision]:
        """Return what time or an outage settles."""
        decisions: list[Decision] = []
        for part in self._parts.values():
            decisions.extend(part.claims.step(now, log_up))
        return self._forget_refused(decisions)

    def page_read(
        self,
        now: float,
        stream: str,
        page: LogPage,
    ) -> list[Decision]:
        """Take the answer of a read and return what it settles."""
        part = self._parts[stream]
        decisions = part.claims.take_page(now, page)
        part.follower.page_read(now, page, part.claims.table.wanted)
        return self._forget_refused(decisions)

    def read_failed(self, now: float, stream: str) -> None:
        """Learn that a read failed."""
        self._parts[stream].follower.read_failed(now)

    def appended(self, now: float, stream: str, batch: int) -> None:
        """Learn that an append is in the log."""
        part = self._parts[stream]
        part.claims.outbox.landed(batch)
        part.follower.hurry(now)

    def append_failed(
        self,
        now: float,
        action: AppendClaims,
        fault: PlatformFault,
    ) -> None:
        """Learn that an append failed, or that its answer was lost."""
        outbox = self._parts[action.stream].claims.outbox
        outbox.failed(now, action.batch, fault)

    def authorise_send(
        self,
        now: float,
        request_id: str,
    ) -> Result[SendRight, Refusal]:
        """Return the right to send a request once, at this moment."""
        sends = self._sends(request_id)
        if sends is None:
            return Failure(refusals.outcome_unknown())
        return sends.authorise(now, request_id)

    def not_carried_out(self, request_id: str) -> None:
        """Learn that a send certainly did not reach the service."""
        sends = self._sends(request_id)
        if sends:
            sends.not_carried_out(request_id)

    def answered(self, request_id: str, outcome: Outcome) -> None:
        """Keep the outcome of a request for later tries."""
        sends = self._sends(request_id)
        if sends:
            sends.answered(request_id, outcome)
        self._where.pop(request_id, None)

    def answer_lost(self, request_id: str) -> Decision:
        """Learn that a send may have been carried out; say what is next."""
        sends = self._sends(request_id)
        if sends is None:
            return Refuse(request_id, refusals.outcome_unknown())
        decision = sends.answer_lost(request_id)
        self._forget_refused([decision])
        return decision

    def give_back(self, request_id: str) -> Refuse:
        """Give up a request that this entry will not send any more."""
        sends = self._sends(request_id)
        self._where.pop(request_id, None)
        if sends is None:
            return Refuse(request_id, refusals.outcome_unknown())
        return sends.give_back(request_id)

    @property
    def unsent_records(self) -> int:
        """Return how many records are not known to have landed."""
        return sum(len(part.claims.outbox) for part in self._parts.values())

    def _sends(self, request_id: str) -> Sends | None:
        stream = self._where.get(request_id)
        return self._parts[stream].claims.sends if stream else None

    def _forget_refused(self, decisions: list[Decision]) -> list[Decision]:
        for decision in decisions:
            if not isinstance(decision, MayRun):
                self._where.pop(decision.request_id, None)
        return decisions
