"""At-most-once execution of requests, for one claim stream.

A request is sent only after its claim has been read back from the log as the
holder of its idempotency key, and the permit is checked again at the moment
of sending.  No entry ever takes over a claim of another one, so a claimant
that resumes after a pause can't cause a second run.  A claimant that crashed
leaves an unknown outcome.
"""

from collections.abc import Iterable

from foxtailhatch.core import Refusal, RunState
from foxtailhatch.durable import claim_refusals as refusals
from foxtailhatch.durable.claim_records import Claim, Outcome
from foxtailhatch.durable.claim_requests import (
    ClaimRequest,
    Decision,
    MayRun,
    Refuse,
    Replay,
)
from foxtailhatch.durable.claim_settings import ClaimSettings
from foxtailhatch.durable.claim_table import (
    ClaimStatus,
    ClaimTable,
    KeyState,
    ReadClaim,
)
from foxtailhatch.durable.key_validation import KeyValidator
from foxtailhatch.durable.outbox import Outbox
from foxtailhatch.durable.pending_requests import (
    PendingRequest,
    PendingRequests,
    RequestState,
)
from foxtailhatch.durable.send_controller import (
    SendController,
    run_state_of_unsent_claim,
)
from foxtailhatch.outside import LogPage

HOLDER_TIMEOUT_S = 60.0
UNSENT_GRACE_S = 30.0
EXPIRY_INTERVAL_S = 60.0


class ClaimController:
    """The claims of one entry on one stream.

    ``run_id`` must be unique to each start of each entry.  Requests that may
    run are sent through :attr:`send_controller`.
    """

    def __init__(self, run_id: str, cfg: ClaimSettings) -> None:
        """Start without read records or pending claims."""
        self.table = ClaimTable(cfg.partitions, cfg.retention_s)
        self.outbox = Outbox()
        self._pending_requests = PendingRequests(run_id)
        self.send_controller = SendController(
            self._pending_requests, self.table, self.outbox
        )
        self._key_validator = KeyValidator(cfg, self.table)
        self._cfg = cfg
        self._expire_at = float(0)

    @property
    def has_undecided(self) -> bool:
        """Return whether any request waits for records of the stream."""
        return any(pending.is_undecided for pending in self._pending_requests)

    def submit(
        self,
        now: float,
        req: ClaimRequest,
        log_up: bool,
    ) -> Decision | None:
        """Start a request; ``None`` means that the decision follows later."""
        refusal = self._key_validator.refusal(now, req)
        if refusal is not None:
            return Refuse(req.request_id, refusal)
        pending = self._pending_requests.add(req, self.table.last_offset)
        state = self.table.look_up(req.owner)
        if state and state.holder:
            return self._wait_for_holder(now, pending, state, log_up)
        if not log_up:
            return self._handle_unsettled(pending)
        if self._pending_requests.has_concurrent(pending):
            pending.state = RequestState.WAITING
        else:
            self._claim(pending)
        return None

    def apply_page(self, now: float, page: LogPage) -> list[Decision]:
        """Apply a page of the stream and return the decisions that follow."""
        decisions: list[Decision | None] = []
        for read_claim in self.table.apply_page(now, page):
            self.outbox.handle_claim_read(read_claim.claim_id)
            pending = self._pending_requests.by_claim(read_claim.claim_id)
            if pending and pending.state is RequestState.CLAIMING:
                decisions.append(
                    self._handle_own_claim(now, pending, read_claim)
                )
        for waiting in self._pending_requests:
            if waiting.state is RequestState.WAITING:
                decisions.append(self._recheck(now, waiting))
        return _without_none(decisions)

    def step(self, now: float, log_up: bool) -> list[Decision]:
        """Return the decisions due to deadlines or to a log outage."""
        if now >= self._expire_at:
            self._expire_at = now + EXPIRY_INTERVAL_S
            self.table.expire(now - self._cfg.key_retention_s)
        decisions: list[Decision] = []
        for pending in self._pending_requests:
            if pending.is_undecided and (
                not log_up or now >= pending.req.deadline_at
            ):
                decisions.append(self._handle_unsettled(pending))
            elif _is_left_unsent(now, pending):
                self.send_controller.release(pending.req.request_id)
        return decisions

    def _claim(self, pending: PendingRequest) -> None:
        self.outbox.put(
            Claim(
                pending.claim_id,
                pending.req.owner,
                pending.req.digest,
                pending.read_offset,
                self._cfg.partitions,
            ),
        )

    def _handle_own_claim(
        self,
        now: float,
        pending: PendingRequest,
        read_claim: ReadClaim,
    ) -> Decision | None:
        refusal = self._key_validator.refusal(now, pending.req)
        if refusal is not None:
            return self.send_controller.abandon(pending, refusal)
        if read_claim.status is not ClaimStatus.GRANTED:
            pending.state = RequestState.WAITING
            return None
        state = self.table.look_up(pending.req.owner)
        pending.fence = state.offset if state else None
        return self._permit_run(pending)

    def _wait_for_holder(
        self,
        now: float,
        pending: PendingRequest,
        state: KeyState,
        log_up: bool,
    ) -> Decision | None:
        """Wait for the outcome of the claim that holds the key."""
        pending.state = RequestState.WAITING
        decision = self._recheck(now, pending)
        if decision is not None:
            return decision
        if not log_up:
            return self._handle_unsettled(pending)
        unresponsive = now - state.logged_at > HOLDER_TIMEOUT_S
        if unresponsive and not self._pending_requests.has_concurrent(pending):
            return self._refuse_unknown(pending, refusals.holder_unresponsive())
        return None

    def _recheck(self, now: float, pending: PendingRequest) -> Decision | None:
        """Return the decision for a waiting request, if it can be made now."""
        state = self.table.look_up(pending.req.owner)
        if state is None:
            return None
        refusal = self._key_validator.refusal(now, pending.req)
        if refusal is not None:
            return self._refuse(pending, refusal)
        if state.holder:
            return self._decide_by_outcome(pending, state.holder, state.outcome)
        if state.released_offset > pending.read_offset:
            return self._refuse(pending, refusals.key_released())
        return None

    def _decide_by_outcome(
        self,
        pending: PendingRequest,
        holder: Claim,
        outcome: Outcome | None,
    ) -> Decision | None:
        """Return the decision that follows from the holder's outcome, if any."""
        if holder.digest != pending.req.digest:
            return self._refuse(pending, refusals.key_reused())
        if outcome is None:
            return None
        if outcome.run is RunState.UNKNOWN:
            return self._refuse_unknown(pending, refusals.outcome_unknown())
        self._pending_requests.close(pending)
        return Replay(pending.req.request_id, outcome)

    def _handle_unsettled(self, pending: PendingRequest) -> Decision:
        """Decide a request that the log did not settle in time."""
        if pending.state is RequestState.WAITING:
            return self._refuse_unknown(pending, refusals.key_in_use())
        if pending.req.checks_key:
            return self._permit_run(pending)
        return self.send_controller.cancel(pending, refusals.log_unavailable)

    def _refuse_unknown(
        self, pending: PendingRequest, refusal: Refusal
    ) -> Decision:
        """Refuse with an unknown outcome.

        A service that checks idempotency keys deduplicates the request
        itself, so the request may be sent to it.
        """
        if pending.req.checks_key:
            return self._permit_run(pending)
        return self._refuse(pending, refusal)

    def _permit_run(self, pending: PendingRequest) -> MayRun:
        pending.state = RequestState.READY
        return MayRun(pending.req.request_id)

    def _refuse(self, pending: PendingRequest, refusal: Refusal) -> Refuse:
        self._pending_requests.close(pending)
        return Refuse(pending.req.request_id, refusal)


def _not_sent_in_time(pending: PendingRequest) -> Refusal:
    return refusals.not_sent_in_time(run_state_of_unsent_claim(pending.req))


def _is_left_unsent(now: float, pending: PendingRequest) -> bool:
    """Return whether a request that may be sent was left unsent too long."""
    late_s = now - pending.req.deadline_at
    return pending.state is RequestState.READY and late_s >= UNSENT_GRACE_S


def _without_none(decisions: Iterable[Decision | None]) -> list[Decision]:
    return [decision for decision in decisions if decision is not None]
