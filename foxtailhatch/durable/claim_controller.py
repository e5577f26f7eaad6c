"""The right to run a request at most once, for one claim stream.

A request is sent only after its claim was read back as the holder of its
key, and the right is checked again at the moment of sending.  No other entry
ever takes a claim over, so a claimant that was paused does no harm when it
wakes; one that died leaves an outcome that nobody knows.
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
from foxtailhatch.durable.send_controller import SendController, run_claimed
from foxtailhatch.outside import LogPage

HOLDER_TIMEOUT_S = 60.0
HELD_GRACE_S = 30.0
FORGET_INTERVAL_S = 60.0


class ClaimController:
    """The claims of one entry on one stream.

    ``run_id`` must differ at every start of every entry.  The requests it
    allows are sent through :attr:`send_controller`.
    """

    def __init__(self, run_id: str, cfg: ClaimSettings) -> None:
        """Start with nothing read and nothing claimed."""
        self.table = ClaimTable(cfg.partitions, cfg.retention_s)
        self.outbox = Outbox()
        self._book = PendingRequests(run_id)
        self.send_controller = SendController(
            self._book, self.table, self.outbox
        )
        self._rules = KeyValidator(cfg, self.table)
        self._cfg = cfg
        self._forget_at = float(0)

    @property
    def has_undecided(self) -> bool:
        """Tell whether any request waits for what the stream says."""
        return any(ticket.is_open for ticket in self._book)

    def submit(
        self,
        now: float,
        req: ClaimRequest,
        log_up: bool,
    ) -> Decision | None:
        """Take a request in; ``None`` says that the decision comes later."""
        refusal = self._rules.refusal(now, req)
        if refusal is not None:
            return Refuse(req.request_id, refusal)
        ticket = self._book.open(req, self.table.last_offset)
        state = self.table.look_up(req.owner)
        if state and state.holder:
            return self._join(now, ticket, state, log_up)
        if not log_up:
            return self._give_up(ticket)
        if self._book.has_rival(ticket):
            ticket.state = RequestState.WAITING
        else:
            self._claim(ticket)
        return None

    def apply_page(self, now: float, page: LogPage) -> list[Decision]:
        """Fold a page of the stream and decide what it settles."""
        decisions: list[Decision | None] = []
        for read in self.table.apply_page(now, page):
            self.outbox.handle_claim_read(read.claim_id)
            ticket = self._book.of_claim(read.claim_id)
            if ticket and ticket.state is RequestState.CLAIMING:
                decisions.append(self._claim_read(now, ticket, read))
        for waiting in self._book:
            if waiting.state is RequestState.WAITING:
                decisions.append(self._look_again(now, waiting))
        return _made(decisions)

    def step(self, now: float, log_up: bool) -> list[Decision]:
        """Decide what time or an outage settles."""
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_S
            self.table.expire(now - self._cfg.kept_s)
        decisions: list[Decision] = []
        for ticket in self._book:
            if ticket.is_open and (not log_up or now >= ticket.req.deadline_at):
                decisions.append(self._give_up(ticket))
            elif _is_forgotten(now, ticket):
                self.send_controller.release(ticket.req.request_id)
        return decisions

    def _claim(self, ticket: PendingRequest) -> None:
        self.outbox.put(
            Claim(
                ticket.claim_id,
                ticket.req.owner,
                ticket.req.digest,
                ticket.seen,
                self._cfg.partitions,
            ),
        )

    def _claim_read(
        self,
        now: float,
        ticket: PendingRequest,
        read: ReadClaim,
    ) -> Decision | None:
        refusal = self._rules.refusal(now, ticket.req)
        if refusal is not None:
            return self.send_controller.abandon(ticket, refusal)
        if read.standing is not ClaimStatus.GRANTED:
            ticket.state = RequestState.WAITING
            return None
        state = self.table.look_up(ticket.req.owner)
        ticket.fence = state.offset if state else None
        return self._hold(ticket)

    def _join(
        self,
        now: float,
        ticket: PendingRequest,
        state: KeyState,
        log_up: bool,
    ) -> Decision | None:
        """Follow the claim that holds the key."""
        ticket.state = RequestState.WAITING
        decision = self._look_again(now, ticket)
        if decision is not None:
            return decision
        if not log_up:
            return self._give_up(ticket)
        silent = now - state.logged_at > HOLDER_TIMEOUT_S
        if silent and not self._book.has_rival(ticket):
            return self._unknown(ticket, refusals.holder_unresponsive())
        return None

    def _look_again(
        self, now: float, ticket: PendingRequest
    ) -> Decision | None:
        """Return the decision for a waiting request, if there is one."""
        state = self.table.look_up(ticket.req.owner)
        if state is None:
            return None
        refusal = self._rules.refusal(now, ticket.req)
        if refusal is not None:
            return self._close(ticket, refusal)
        if state.holder:
            return self._follow(ticket, state.holder, state.outcome)
        if state.freed > ticket.seen:
            return self._close(ticket, refusals.key_released())
        return None

    def _follow(
        self,
        ticket: PendingRequest,
        holder: Claim,
        outcome: Outcome | None,
    ) -> Decision | None:
        """Return the decision that another claim's outcome settles."""
        if holder.digest != ticket.req.digest:
            return self._close(ticket, refusals.key_reused())
        if outcome is None:
            return None
        if outcome.run is RunState.UNKNOWN:
            return self._unknown(ticket, refusals.outcome_unknown())
        self._book.close(ticket)
        return Replay(ticket.req.request_id, outcome)

    def _give_up(self, ticket: PendingRequest) -> Decision:
        """Decide for a request that the log does not settle in time."""
        if ticket.state is RequestState.WAITING:
            return self._unknown(ticket, refusals.key_in_use())
        if ticket.req.checks_key:
            return self._hold(ticket)
        return self.send_controller.cancel(ticket, refusals.log_unavailable)

    def _unknown(self, ticket: PendingRequest, refusal: Refusal) -> Decision:
        """Refuse as unknown, or let a service that checks keys decide."""
        if ticket.req.checks_key:
            return self._hold(ticket)
        return self._close(ticket, refusal)

    def _hold(self, ticket: PendingRequest) -> MayRun:
        ticket.state = RequestState.HELD
        return MayRun(ticket.req.request_id)

    def _close(self, ticket: PendingRequest, refusal: Refusal) -> Refuse:
        self._book.close(ticket)
        return Refuse(ticket.req.request_id, refusal)


def _not_sent_in_time(ticket: PendingRequest) -> Refusal:
    return refusals.not_sent_in_time(run_claimed(ticket.req))


def _is_forgotten(now: float, ticket: PendingRequest) -> bool:
    """Tell whether nobody asked to send a request that may be sent."""
    late_s = now - ticket.req.deadline_at
    return ticket.state is RequestState.HELD and late_s >= HELD_GRACE_S


def _made(decisions: Iterable[Decision | None]) -> list[Decision]:
    return [decision for decision in decisions if decision is not None]
