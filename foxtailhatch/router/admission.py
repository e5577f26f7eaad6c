"""Decide whether a request is admitted under the configuration in force."""

from dataclasses import replace
from random import Random

from returns.result import Failure, Result, Success

from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.request import RelayRequest
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.routes import Account, Route, RoutingTable

# Keys are refused this long before an unseen revocation would have to be in
# force, as an admitted request still has to reach its endpoint.
REVOCATION_MARGIN_S = 0.4
# A stopping entry accepts requests for this long: callers keep its address for a
# while, and a response can still be completed within the grace period of a stop.
STOP_ACCEPT_S = 2.5
# Part of the grace period for which a stopping entry accepts requests at most.
STOP_ACCEPT_SHARE = 0.3125
RETRY_AFTER_ELSEWHERE_S = 0.05
RETRY_AFTER_UNCONFIGURED_S = 0.5

STOPPING_REFUSAL = RelayRefusal(RefusalReason.STOPPING, RETRY_AFTER_ELSEWHERE_S)


def stop_accept_s(stop_grace_s: float) -> float:
    """Return how long a stopping entry accepts requests, in seconds.

    >>> stop_accept_s(8.0), stop_accept_s(4.0)
    (2.5, 1.25)
    """
    return min(STOP_ACCEPT_S, STOP_ACCEPT_SHARE * stop_grace_s)


def admit(
    board: Blackboard,
    req: RelayRequest,
    now: float,
    random: Random,
) -> Result[AdmittedRequest, RelayRefusal]:
    """Return the request with its route, service and account, or a refusal.

    ``random`` selects the service among the weighted shares of the route.
    """
    entry_refusal = _entry_refusal(board, now)
    if entry_refusal is not None:
        return Failure(entry_refusal)
    table = board.table
    route = None if table is None else table.route(req.host, req.target)
    age_s = board.configuration_age(now)
    if table is None or route is None:
        return Failure(_denial_refusal(board, RefusalReason.NO_ROUTE, age_s))
    account = None
    if not route.is_public and table.cfg.checks_keys:
        account = None if req.key is None else table.account(req.key)
        refusal = _key_refusal(board, account, age_s)
        if refusal is not None:
            return Failure(refusal)
    admitted = _with_service(table, req, route, account, random)
    return admitted.map(
        lambda passed: replace(
            passed, version=table.version, configuration_age_s=age_s
        )
    )


def _entry_refusal(board: Blackboard, now: float) -> RelayRefusal | None:
    if board.table is None:
        return RelayRefusal(
            RefusalReason.NO_CONFIGURATION, RETRY_AFTER_UNCONFIGURED_S
        )
    requested_at = board.stop_requested_at
    accept_s = stop_accept_s(board.cfg.bounds.stop_grace_s)
    if requested_at is not None and now - requested_at > accept_s:
        return STOPPING_REFUSAL
    return None


def _key_refusal(
    board: Blackboard,
    account: Account | None,
    age_s: float,
) -> RelayRefusal | None:
    if age_s > board.cfg.bounds.revocation_s - REVOCATION_MARGIN_S:
        return RelayRefusal(
            RefusalReason.STALE_CONFIGURATION, RETRY_AFTER_ELSEWHERE_S
        )
    return (
        _denial_refusal(board, RefusalReason.UNKNOWN_KEY, age_s)
        if account is None
        else None
    )


def _denial_refusal(
    board: Blackboard, reason: RefusalReason, age_s: float
) -> RelayRefusal:
    """Return a denial, unless a route or key may have been added since."""
    if age_s > board.cfg.bounds.change_s:
        return RelayRefusal(
            RefusalReason.STALE_CONFIGURATION, RETRY_AFTER_ELSEWHERE_S
        )
    return RelayRefusal(reason)


def _with_service(
    table: RoutingTable,
    req: RelayRequest,
    route: Route,
    account: Account | None,
    random: Random,
) -> Result[AdmittedRequest, RelayRefusal]:
    no_endpoint = RelayRefusal(
        RefusalReason.NO_ENDPOINT, RETRY_AFTER_UNCONFIGURED_S
    )
    weights = [max(0, share.weight) for share in route.shares]
    if not sum(weights):
        return Failure(no_endpoint)
    share = random.choices(route.shares, weights)[0]
    service = table.service(share.service)
    if service is None:
        return Failure(no_endpoint)
    urgency = route.priority
    if account is not None and account.priority is not None:
        urgency = account.priority
    fill_limit = None
    ranks = table.ordered_ranks(service.name)
    if ranks is not None:
        urgency = ranks.rank_of(urgency, route.priority)
        fill_limit = ranks.fill_limit(urgency)
    name = None if account is None else account.name
    return Success(
        AdmittedRequest(
            req.with_fingerprint(name),
            route,
            service,
            name,
            urgency,
            fill_limit=fill_limit,
        )
    )
