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
from foxtailhatch.durable.claim_controller import ClaimController
from foxtailhatch.durable.claim_records import Outcome
from foxtailhatch.durable.claim_requests import (
    ClaimRequest,
    Decision,
    MayRun,
    Refuse,
    SendPermit,
)
from foxtailhatch.durable.claim_settings import ClaimSettings
from foxtailhatch.durable.keys import partition_of, partition_stream
from foxtailhatch.durable.log_follower import LogFollower, ReadStream
from foxtailhatch.durable.send_controller import SendController
from foxtailhatch.outside import LogPage, PlatformFault

IDLE_POLL_S = 10.0
BUSY_POLL_S = 0.2


@dataclass(frozen=True, slots=True)
class AppendClaimBatch:
    """Append ``body`` to a claim stream and report how it went."""

    stream: str
    batch_id: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotFollowed:
    """This entry does not follow the part that the key belongs to."""

    partition: int


@dataclass(slots=True)
class FollowedPartition:
    """One stream: its claims and the pace of its reader."""

    claims: ClaimController
    follower: LogFollower


ClaimAction = ReadStream | AppendClaimBatch


class ClaimManager:
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
        self._partitions: dict[str, FollowedPartition] = {}
        self._stream_by_request: dict[str, str] = {}

    @property
    def followed_partitions(self) -> frozenset[int]:
        """Return the numbers of the parts that this entry follows."""
        return frozenset(
            partition
            for partition in range(self._cfg.partitions)
            if partition_stream(partition) in self._partitions
        )

    def follow(self, partitions: Iterable[int]) -> None:
        """Begin to follow parts; those followed already go on."""
        for partition in partitions:
            stream = partition_stream(partition)
            if stream in self._partitions:
                continue
            self._partitions[stream] = FollowedPartition(
                ClaimController(f'{self._run_id}/{partition}', self._cfg),
                LogFollower(stream, self._rng, IDLE_POLL_S),
            )

    def submit(
        self,
        now: float,
        req: ClaimRequest,
        log_up: bool,
    ) -> Decision | NotFollowed | None:
        """Take a request in; ``None`` says that the decision comes later."""
        partition = partition_of(
            req.owner.account, req.owner.key, self._cfg.partitions
        )
        stream = partition_stream(partition)
        followed = self._partitions.get(stream)
        if followed is None:
            return NotFollowed(partition)
        self._stream_by_request[req.request_id] = stream
        decision = followed.claims.submit(now, req, log_up)
        self._forget_finished([] if decision is None else [decision])
        return decision

    def due_actions(self, now: float) -> list[ClaimAction]:
        """Return the reads and appends that are due at ``now``."""
        due: list[ClaimAction] = []
        for stream, partition in self._partitions.items():
            append = partition.claims.outbox.next_append(now)
            if append:
                due.append(
                    AppendClaimBatch(stream, append.batch_id, append.body)
                )
            if partition.claims.has_undecided:
                partition.follower.poll_soon(now, BUSY_POLL_S)
            next_offset = partition.claims.table.next_offset
            read = partition.follower.next_read(now, next_offset)
            if read:
                due.append(read)
        return due

    def step(self, now: float, log_up: bool) -> list[Decision]:
        """Return what time or an outage settles."""
        decisions: list[Decision] = []
        for partition in self._partitions.values():
            decisions.extend(partition.claims.step(now, log_up))
        return self._forget_finished(decisions)

    def handle_page(
        self,
        now: float,
        stream: str,
        page: LogPage,
    ) -> list[Decision]:
        """Take the answer of a read and return what it settles."""
        partition = self._partitions[stream]
        decisions = partition.claims.apply_page(now, page)
        partition.follower.handle_page(
            now, page, partition.claims.table.next_offset
        )
        return self._forget_finished(decisions)

    def handle_read_failure(self, now: float, stream: str) -> None:
        """Learn that a read failed."""
        self._partitions[stream].follower.handle_read_failure(now)

    def handle_append(self, now: float, stream: str, batch_id: int) -> None:
        """Learn that an append is in the log."""
        partition = self._partitions[stream]
        partition.claims.outbox.handle_acknowledgement(batch_id)
        partition.follower.poll_soon(now)

    def handle_append_failure(
        self,
        now: float,
        action: AppendClaimBatch,
        fault: PlatformFault,
    ) -> None:
        """Learn that an append failed, or that its answer was lost."""
        outbox = self._partitions[action.stream].claims.outbox
        outbox.handle_failure(now, action.batch_id, fault)

    def authorise_send(
        self,
        now: float,
        request_id: str,
    ) -> Result[SendPermit, Refusal]:
        """Return the right to send a request once, at this moment."""
        send_controller = self._send_controller_of(request_id)
        if send_controller is None:
            return Failure(refusals.outcome_unknown())
        return send_controller.authorise(now, request_id)

    def handle_not_executed(self, request_id: str) -> None:
        """Learn that a send certainly did not reach the service."""
        send_controller = self._send_controller_of(request_id)
        if send_controller:
            send_controller.handle_not_executed(request_id)

    def record_outcome(self, request_id: str, outcome: Outcome) -> None:
        """Keep the outcome of a request for later tries."""
        send_controller = self._send_controller_of(request_id)
        if send_controller:
            send_controller.record_outcome(request_id, outcome)
        self._stream_by_request.pop(request_id, None)

    def handle_lost_response(self, request_id: str) -> Decision:
        """Learn that a send may have been carried out; say what is next."""
        send_controller = self._send_controller_of(request_id)
        if send_controller is None:
            return Refuse(request_id, refusals.outcome_unknown())
        decision = send_controller.handle_lost_response(request_id)
        self._forget_finished([decision])
        return decision

    def release(self, request_id: str) -> Refuse:
        """Give up a request that this entry will not send any more."""
        send_controller = self._send_controller_of(request_id)
        self._stream_by_request.pop(request_id, None)
        if send_controller is None:
            return Refuse(request_id, refusals.outcome_unknown())
        return send_controller.release(request_id)

    @property
    def pending_record_count(self) -> int:
        """Return how many records are not known to have landed."""
        return sum(
            len(partition.claims.outbox)
            for partition in self._partitions.values()
        )

    def _send_controller_of(self, request_id: str) -> SendController | None:
        stream = self._stream_by_request.get(request_id)
        return (
            self._partitions[stream].claims.send_controller if stream else None
        )

    def _forget_finished(self, decisions: list[Decision]) -> list[Decision]:
        for decision in decisions:
            if not isinstance(decision, MayRun):
                self._stream_by_request.pop(decision.request_id, None)
        return decisions
