"""Sending of claimed requests, and the reported state after failures."""

from returns.result import Failure, Result, Success

from foxtailhatch.core import Invariant, Refusal, RunState, check_invariant
from foxtailhatch.durable import claim_refusals as refusals
from foxtailhatch.durable.claim_records import (
    Abandon,
    Done,
    Outcome,
    without_large_body,
)
from foxtailhatch.durable.claim_requests import (
    ClaimRequest,
    Decision,
    MayRun,
    Refuse,
    SendPermit,
)
from foxtailhatch.durable.claim_table import ClaimTable
from foxtailhatch.durable.outbox import Outbox
from foxtailhatch.durable.pending_requests import (
    PendingRequest,
    PendingRequests,
    RequestState,
    require_not_run,
)


def run_state_without_claim(req: ClaimRequest) -> RunState:
    """Return the run state of a key that this entry did not claim.

    An earlier try may have run at another entry, unless the caller asserts
    that there was none.
    """
    return RunState.NOT_RUN if req.first_try else RunState.UNKNOWN


def run_state_of_unsent_claim(req: ClaimRequest) -> RunState:
    """Return the run state of a claimed key whose request was never sent.

    While the log is down, an earlier try may have been sent without a claim
    to a service that checks keys.
    """
    return run_state_without_claim(req) if req.checks_key else RunState.NOT_RUN


class SendController:
    """Requests from the permit to send them to their outcome."""

    def __init__(
        self,
        pending_requests: PendingRequests,
        table: ClaimTable,
        outbox: Outbox,
    ) -> None:
        """Use the pending requests, key table and outbox of one stream."""
        self._pending_requests = pending_requests
        self._table = table
        self._outbox = outbox

    def authorize(
        self,
        now: float,
        request_id: str,
    ) -> Result[SendPermit, Refusal]:
        """Return a permit to send once, valid only at ``now``.

        For a service that checks keys, another permit may be requested to
        send the same key again after a response was lost.
        """
        pending = self._pending_requests.get(request_id)
        if pending is None or not pending.may_send:
            return Failure(refusals.outcome_unknown())
        if now >= pending.req.deadline_at:
            return Failure(self.release(request_id).refusal)
        if not pending.req.checks_key:
            self._require_holder(pending)
        pending.may_have_run = True
        pending.state = RequestState.SENT
        key = pending.req.owner.key
        return Success(SendPermit(request_id, key, pending.fence))

    def handle_not_executed(self, request_id: str) -> None:
        """Record that a send certainly did not reach the service.

        The request may then be authorized again or released.
        """
        pending = self._pending_requests.get(request_id)
        if pending and pending.state is RequestState.SENT:
            pending.state = RequestState.READY
            pending.may_have_run = pending.lost_responses > 0

    def handle_lost_response(self, request_id: str) -> Decision:
        """Return the decision after a send whose response was lost."""
        pending = self._pending_requests.get(request_id)
        if pending is None:
            return Refuse(request_id, refusals.outcome_unknown())
        pending.lost_responses += 1
        if pending.req.checks_key:
            return MayRun(request_id)
        return self._finish_unknown(pending)

    def record_outcome(self, request_id: str, outcome: Outcome) -> None:
        """Store the outcome for later tries under the same key."""
        pending = self._pending_requests.get(request_id)
        if pending:
            self._finish(pending, outcome)

    def release(self, request_id: str) -> Refuse:
        """Release the key of a request that this entry will not send."""
        pending = self._pending_requests.get(request_id)
        if pending is None:
            return Refuse(request_id, refusals.outcome_unknown())
        if pending.may_have_run:
            return self._finish_unknown(pending)
        if pending.fence is None:
            return self.cancel(pending, refusals.log_unavailable)
        given_refusal = refusals.not_sent_in_time(
            run_state_of_unsent_claim(pending.req)
        )
        return self.abandon(pending, given_refusal)

    def abandon(self, pending: PendingRequest, refusal: Refusal) -> Refuse:
        """Release the key of a logged claim whose request was not sent."""
        require_not_run(pending)
        self._outbox.put(Abandon(pending.claim_id, pending.req.owner))
        self._pending_requests.close(pending)
        return Refuse(pending.req.request_id, refusal)

    def cancel(
        self,
        pending: PendingRequest,
        refusal: refusals.RefusalFactory,
    ) -> Refuse:
        """Cancel a request whose claim was not read back."""
        given_refusal = refusal(run_state_without_claim(pending.req))
        if not self._outbox.cancel_claim(pending.claim_id):
            return self.abandon(pending, given_refusal)
        require_not_run(pending)
        self._pending_requests.close(pending)
        return Refuse(pending.req.request_id, given_refusal)

    def _require_holder(self, pending: PendingRequest) -> None:
        state = self._table.look_up(pending.req.owner)
        holder = state.holder.claim_id if state and state.holder else None
        is_first = holder == pending.claim_id and not pending.may_have_run
        check_invariant(
            Invariant.AT_MOST_ONCE,
            is_first and pending.state is RequestState.READY,
            f'expected claim {pending.claim_id} to be the unsent holder of its '
            f'key, the holder is {holder}',
        )

    def _finish_unknown(self, pending: PendingRequest) -> Refuse:
        self._finish(pending, Outcome(RunState.UNKNOWN))
        return Refuse(pending.req.request_id, refusals.outcome_unknown())

    def _finish(self, pending: PendingRequest, outcome: Outcome) -> None:
        done = Done(
            pending.claim_id, pending.req.owner, without_large_body(outcome)
        )
        self._outbox.put(done)
        self._pending_requests.close(pending)
