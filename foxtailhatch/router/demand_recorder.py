"""Record the demand that the relayed requests of this entry make."""

from itertools import pairwise

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.context import NO_DEMAND, DemandRecord, SelectedChain
from foxtailhatch.relay.refusals import UNAVAILABLE, RefusalReason
from foxtailhatch.router.blackboard import Blackboard

# Refusals for which more capacity would not help.
_OTHER_REASONS = frozenset(
    (
        RefusalReason.STOPPING,
        RefusalReason.QUARANTINED,
        RefusalReason.SUSPECTED,
        RefusalReason.NO_CONFIGURATION,
        RefusalReason.STALE_CONFIGURATION,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.BODIES_TOO_LARGE,
        RefusalReason.NO_REQUEST_ID,
    )
)


class DemandRecorder:
    """Begin the records of requests, where the service asks for it."""

    def __init__(self, board: Blackboard) -> None:
        """Record to ``board.own_demand``."""
        self._board = board

    def track(self, admitted: AdmittedRequest) -> DemandRecord:
        """Return the record of a request, which is about to be relayed."""
        features = self._board.features
        service = admitted.service.name
        if not features.reports_demand(service):
            return NO_DEMAND
        rank = features.rank(service, admitted.urgency, admitted.route.priority)
        return RequestDemand(self._board, admitted, rank)


class RequestDemand:
    """The demand of one request, from its first send to its end."""

    def __init__(
        self, board: Blackboard, admitted: AdmittedRequest, rank: int
    ) -> None:
        """Record nothing yet."""
        self._board = board
        self._service = admitted.service.name
        self._rank = rank
        self._account = admitted.account
        tokens = admitted.req.tokens
        self._tokens = tokens.expected if tokens else 0
        self._is_running = False

    def sent(self, chosen: SelectedChain, now: float) -> None:
        """Record that the request was sent, for the first time or again.

        One that is sent to another entry is recorded there.
        """
        if chosen[0].is_entry:
            return
        own = self._board.own_demand
        if not self._is_running:
            self._is_running = True
            own.record_start(
                self._service, self._rank, self._account, self._tokens, now
            )
        hops = count_crossings([stage.endpoint for stage in chosen])
        if hops:
            own.record_crossing(self._service, now, hops)

    def refused(self, reason: RefusalReason, status: int, now: float) -> None:
        """Record a refusal if the request found no capacity.

        One that was sent and then refused by an engine counts as started.
        """
        if self._is_running or status != UNAVAILABLE:
            return
        if reason not in _OTHER_REASONS:
            self._board.own_demand.record_refusal(
                self._service, self._rank, now
            )

    def ended(self) -> None:
        """Record the end of the request."""
        if self._is_running:
            self._is_running = False
            self._board.own_demand.record_end(
                self._service, self._rank, self._account, self._tokens
            )


def count_crossings(endpoints: list[LiveEndpoint]) -> int:
    """Return the number of hops between zones in a chain."""
    return sum(one.zone != after.zone for one, after in pairwise(endpoints))
