"""Sending a claimed request, and what is said when a send goes wrong."""

from returns.result import Failure, Result, Success

from foxtailhatch.core import Invariant, Refusal, RunState, require
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
    """Return what may be said of a key that this entry did not claim.

    An earlier try may have run elsewhere without this entry knowing, unless
    the caller says that there was none.
    """
    return RunState.NOT_RUN if req.first_try else RunState.UNKNOWN


def run_state_of_unsent_claim(req: ClaimRequest) -> RunState:
    """Return what may be said of a key whose claim was never sent.

    To a service that checks keys a try may be sent without a claim, while
    the log is down.
    """
    return run_state_without_claim(req) if req.checks_key else RunState.NOT_RUN


class SendController:
    """The steps of a request from the right to send it to its outcome."""

    def __init__(
        self,
        pending_requests: PendingRequests,
        table: ClaimTable,
        outbox: Outbox,
    ) -> None:
        """Share the tickets, the table and the outbox of one stream."""
        self._pending_requests = pending_requests
        self._table = table
        self._outbox = outbox

    def authorise(
        self,
        now: float,
        request_id: str,
    ) -> Result[SendPermit, Refusal]:
        """Return the right to send once, at this moment.

        For a service that checks keys it may be asked for again, to send
        the same key once more after an answer was lost.
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
        """Learn that a send certainly did not reach the service.

        The request may then be authorised again or given back.
        """
        pending = self._pending_requests.get(request_id)
        if pending and pending.state is RequestState.SENT:
            pending.state = RequestState.READY
            pending.may_have_run = pending.lost_responses > 0

    def handle_lost_response(self, request_id: str) -> Decision:
        """Learn that a send may have been carried out; say what is next."""
        pending = self._pending_requests.get(request_id)
        if pending is None:
            return Refuse(request_id, refusals.outcome_unknown())
        pending.lost_responses += 1
        if pending.req.checks_key:
            return MayRun(request_id)
        return self._finish_unknown(pending)

    def record_outcome(self, request_id: str, outcome: Outcome) -> None:
        """Keep the outcome for later tries under the same key."""
        pending = self._pending_requests.get(request_id)
        if pending:
            self._finish(pending, outcome)

    def release(self, request_id: str) -> Refuse:
        """Give up a request that this entry will not send any more."""
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
        """Free the key of a claim that is in the log but was not sent."""
        require_not_run(pending)
        self._outbox.put(Abandon(pending.claim_id, pending.req.owner))
        self._pending_requests.close(pending)
        return Refuse(pending.req.request_id, refusal)

    def cancel(
        self,
        pending: PendingRequest,
        refusal: refusals.RefusalFactory,
    ) -> Refuse:
        """Give up a request whose claim was not read back."""
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
        require(
            Invariant.AT_MOST_ONCE,
            is_first and pending.state is RequestState.READY,
            f'claim {pending.claim_id} is sent, the holder is {holder}',
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
