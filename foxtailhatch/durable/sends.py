"""Sending a claimed request, and what is said when a send goes wrong."""

from returns.result import Failure, Result, Success

from foxtailhatch.core import Invariant, Refusal, RunState, check_invariant
from foxtailhatch.durable import claim_refusals as refusals
from foxtailhatch.durable.claim_records import (
    Abandon,
    Done,
    Outcome,
    bounded,
)
from foxtailhatch.durable.claim_requests import (
    ClaimRequest,
    Decision,
    MayRun,
    Refuse,
    SendRight,
)
from foxtailhatch.durable.claim_table import ClaimTable
from foxtailhatch.durable.outbox import Outbox
from foxtailhatch.durable.tickets import (
    Ticket,
    TicketBook,
    TicketState,
    require_not_run,
)


def run_before(req: ClaimRequest) -> RunState:
    """Return what may be said of a key that this entry did not claim.

    An earlier try may have run elsewhere without this entry knowing, unless
    the caller says that there was none.
    """
    return RunState.NOT_RUN if req.first_try else RunState.UNKNOWN


def run_claimed(req: ClaimRequest) -> RunState:
    """Return what may be said of a key whose claim was never sent.

    To a service that checks keys a try may be sent without a claim, while
    the log is down.
    """
    return run_before(req) if req.checks_key else RunState.NOT_RUN


class Sends:
    """The steps of a request from the right to send it to its outcome."""

    def __init__(
        self,
        book: TicketBook,
        table: ClaimTable,
        outbox: Outbox,
    ) -> None:
        """Share the tickets, the table and the outbox of one stream."""
        self._book = book
        self._table = table
        self._outbox = outbox

    def authorise(
        self,
        now: float,
        request_id: str,
    ) -> Result[SendRight, Refusal]:
        """Return the right to send once, at this moment.

        For a service that checks keys it may be asked for again, to send
        the same key once more after an answer was lost.
        """
        ticket = self._book.get(request_id)
        if ticket is None or not ticket.may_send:
            return Failure(refusals.outcome_unknown())
        if now >= ticket.req.deadline_at:
            return Failure(self.give_back(request_id).refusal)
        if not ticket.req.checks_key:
            self._require_first(ticket)
        ticket.may_have_run = True
        ticket.state = TicketState.SENT
        key = ticket.req.owner.key
        return Success(SendRight(request_id, key, ticket.fence))

    def not_carried_out(self, request_id: str) -> None:
        """Learn that a send certainly did not reach the service.

        The request may then be authorised again or given back.
        """
        ticket = self._book.get(request_id)
        if ticket and ticket.state is TicketState.SENT:
            ticket.state = TicketState.HELD
            ticket.may_have_run = ticket.lost_answers > 0

    def answer_lost(self, request_id: str) -> Decision:
        """Learn that a send may have been carried out; say what is next."""
        ticket = self._book.get(request_id)
        if ticket is None:
            return Refuse(request_id, refusals.outcome_unknown())
        ticket.lost_answers += 1
        if ticket.req.checks_key:
            return MayRun(request_id)
        return self._finish_unknown(ticket)

    def answered(self, request_id: str, outcome: Outcome) -> None:
        """Keep the outcome for later tries under the same key."""
        ticket = self._book.get(request_id)
        if ticket:
            self._finish(ticket, outcome)

    def give_back(self, request_id: str) -> Refuse:
        """Give up a request that this entry will not send any more."""
        ticket = self._book.get(request_id)
        if ticket is None:
            return Refuse(request_id, refusals.outcome_unknown())
        if ticket.may_have_run:
            return self._finish_unknown(ticket)
        if ticket.fence is None:
            return self.withdraw(ticket, refusals.log_unavailable)
        told = refusals.given_back(run_claimed(ticket.req))
        return self.abandon(ticket, told)

    def abandon(self, ticket: Ticket, refusal: Refusal) -> Refuse:
        """Free the key of a claim that is in the log but was not sent."""
        require_not_run(ticket)
        self._outbox.put(Abandon(ticket.claim_id, ticket.req.owner))
        self._book.close(ticket)
        return Refuse(ticket.req.request_id, refusal)

    def withdraw(
        self,
        ticket: Ticket,
        refusal: refusals.RunRefusal,
    ) -> Refuse:
        """Give up a request whose claim was not read back."""
        told = refusal(run_before(ticket.req))
        if not self._outbox.withdraw(ticket.claim_id):
            return self.abandon(ticket, told)
        require_not_run(ticket)
        self._book.close(ticket)
        return Refuse(ticket.req.request_id, told)

    def _require_first(self, ticket: Ticket) -> None:
        state = self._table.look_up(ticket.req.owner)
        holder = state.holder.claim_id if state and state.holder else None
        first = holder == ticket.claim_id and not ticket.may_have_run
        check_invariant(
            Invariant.AT_MOST_ONCE,
            first and ticket.state is TicketState.HELD,
            f'claim {ticket.claim_id} is sent, the holder is {holder}',
        )

    def _finish_unknown(self, ticket: Ticket) -> Refuse:
        self._finish(ticket, Outcome(RunState.UNKNOWN))
        return Refuse(ticket.req.request_id, refusals.outcome_unknown())

    def _finish(self, ticket: Ticket, outcome: Outcome) -> None:
        done = Done(ticket.claim_id, ticket.req.owner, bounded(outcome))
        self._outbox.put(done)
        self._book.close(ticket)
