"""The claim streams of one entry behind one interface.

Claims are partitioned over several streams by key.  An entry follows some
partitions, or all of them where there are few.  For a key of another
partition it forwards the request to an entry that follows it, or starts to
follow the partition itself.  Safety doesn't depend on which entry follows
which partition.
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
    """Request to append ``body`` to a claim stream and report the result."""

    stream: str
    batch_id: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotFollowed:
    """This entry doesn't follow the partition of the key."""

    partition: int


@dataclass(slots=True)
class FollowedPartition:
    """The claims of one stream and the read schedule of that stream."""

    claims: ClaimController
    follower: LogFollower


ClaimAction = ReadStream | AppendClaimBatch


class ClaimManager:
    """Run requests at most once, by claims on the partitions of an entry."""

    def __init__(
        self,
        run_id: str,
        cfg: ClaimSettings,
        rng: random.Random,
    ) -> None:
        """Start without partitions; ``run_id`` is unique to each start."""
        self._run_id = run_id
        self._cfg = cfg
        self._rng = rng
        self._partitions: dict[str, FollowedPartition] = {}
        self._stream_by_request: dict[str, str] = {}

    @property
    def followed_partitions(self) -> frozenset[int]:
        """Return the numbers of the partitions that this entry follows."""
        return frozenset(
            partition
            for partition in range(self._cfg.partitions)
            if partition_stream(partition) in self._partitions
        )

    def follow(self, partitions: Iterable[int]) -> None:
        """Start to follow partitions; those already followed are unchanged."""
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
        """Start a request; ``None`` means that the decision follows later."""
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
        """Return the decisions due to deadlines or to a log outage."""
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
        """Apply a page that was read and return the decisions that follow."""
        partition = self._partitions[stream]
        decisions = partition.claims.apply_page(now, page)
        partition.follower.handle_page(
            now, page, partition.claims.table.next_offset
        )
        return self._forget_finished(decisions)

    def handle_read_failure(self, now: float, stream: str) -> None:
        """Back off the reads of a stream after a failed read."""
        self._partitions[stream].follower.handle_read_failure(now)

    def handle_append(self, now: float, stream: str, batch_id: int) -> None:
        """Record that an append succeeded, and read its stream soon."""
        partition = self._partitions[stream]
        partition.claims.outbox.handle_acknowledgement(batch_id)
        partition.follower.poll_soon(now)

    def handle_append_failure(
        self,
        now: float,
        action: AppendClaimBatch,
        fault: PlatformFault,
    ) -> None:
        """Record that an append failed or that its response was lost."""
        outbox = self._partitions[action.stream].claims.outbox
        outbox.handle_failure(now, action.batch_id, fault)

    def authorize_send(
        self,
        now: float,
        request_id: str,
    ) -> Result[SendPermit, Refusal]:
        """Return a permit to send a request once, valid only at ``now``."""
        send_controller = self._send_controller_of(request_id)
        if send_controller is None:
            return Failure(refusals.outcome_unknown())
        return send_controller.authorize(now, request_id)

    def handle_not_executed(self, request_id: str) -> None:
        """Record that a send certainly did not reach the service."""
        send_controller = self._send_controller_of(request_id)
        if send_controller:
            send_controller.handle_not_executed(request_id)

    def record_outcome(self, request_id: str, outcome: Outcome) -> None:
        """Store the outcome of a request for later tries under its key."""
        send_controller = self._send_controller_of(request_id)
        if send_controller:
            send_controller.record_outcome(request_id, outcome)
        self._stream_by_request.pop(request_id, None)

    def handle_lost_response(self, request_id: str) -> Decision:
        """Return the decision after a send whose response was lost."""
        send_controller = self._send_controller_of(request_id)
        if send_controller is None:
            return Refuse(request_id, refusals.outcome_unknown())
        decision = send_controller.handle_lost_response(request_id)
        self._forget_finished([decision])
        return decision

    def release(self, request_id: str) -> Refuse:
        """Release the key of a request that this entry will not send."""
        send_controller = self._send_controller_of(request_id)
        self._stream_by_request.pop(request_id, None)
        if send_controller is None:
            return Refuse(request_id, refusals.outcome_unknown())
        return send_controller.release(request_id)

    @property
    def pending_record_count(self) -> int:
        """Return the number of records without an acknowledged append."""
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
