"""Decide whether a request may run at all, by the configuration in force."""

from random import Random

from returns.result import Failure, Result, Success

from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.request import RelayRequest
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.routes import Account, Route, RoutingTable

# A key may run until this much before it could be revoked without our
# knowledge: the request still has to reach its endpoint.
REVOCATION_MARGIN_S = 0.4
# Older knowledge than this does not suffice to say that a route or key does
# not exist; it is half of the time for bringing a configuration into force.
DENIAL_AGE_S = 3.0
# A stopping entry takes requests for this long: callers keep its address
# for a while, and an answer still fits into the time that a stop may take.
STOPPING_ACCEPTS_S = 2.5
RETRY_ELSEWHERE_S = 0.05
RETRY_UNCONFIGURED_S = 0.5


def admit(
    board: RouterState,
    req: RelayRequest,
    now: float,
    random: Random,
) -> Result[AdmittedRequest, RelayRefusal]:
    """Return the request with its route, service and account, or why not."""
    closed = _closed(board, now)
    if closed is not None:
        return Failure(closed)
    table = board.table
    route = None if table is None else table.route(req.host, req.target)
    age_s = board.configuration_age(now)
    if table is None or route is None:
        return Failure(_denial(RefusalReason.NO_ROUTE, age_s))
    if route.is_public or not table.cfg.checks_keys:
        return _admitted(table, req, route, None, random)
    account = None if req.key is None else table.account(req.key)
    refusal = _key_refusal(board, account, age_s)
    if refusal is not None:
        return Failure(refusal)
    return _admitted(table, req, route, account, random)


def _closed(board: RouterState, now: float) -> RelayRefusal | None:
    if board.table is None:
        return RelayRefusal(
            RefusalReason.NO_CONFIGURATION, RETRY_UNCONFIGURED_S
        )
    asked_at = board.stop_requested_at
    if asked_at is not None and now - asked_at > STOPPING_ACCEPTS_S:
        return RelayRefusal(RefusalReason.STOPPING, RETRY_ELSEWHERE_S)
    return None


def _key_refusal(
    board: RouterState,
    account: Account | None,
    age_s: float,
) -> RelayRefusal | None:
    if age_s > board.cfg.bounds.revocation_s - REVOCATION_MARGIN_S:
        return RelayRefusal(
            RefusalReason.STALE_CONFIGURATION, RETRY_ELSEWHERE_S
        )
    return (
        _denial(RefusalReason.UNKNOWN_KEY, age_s) if account is None else None
    )


def _denial(reason: RefusalReason, age_s: float) -> RelayRefusal:
    if age_s > DENIAL_AGE_S:
        return RelayRefusal(
            RefusalReason.STALE_CONFIGURATION, RETRY_ELSEWHERE_S
        )
    return RelayRefusal(reason)


def _admitted(
    table: RoutingTable,
    req: RelayRequest,
    route: Route,
    account: Account | None,
    random: Random,
) -> Result[AdmittedRequest, RelayRefusal]:
    unserved = RelayRefusal(RefusalReason.NO_ENDPOINT, RETRY_UNCONFIGURED_S)
    weights = [max(0, share.weight) for share in route.shares]
    if not sum(weights):
        return Failure(unserved)
    share = random.choices(route.shares, weights)[0]
    service = table.service(share.service)
    if service is None:
        return Failure(unserved)
    urgency = route.priority
    if account is not None and account.priority is not None:
        urgency = account.priority
    name = None if account is None else account.name
    return Success(AdmittedRequest(req, route, service, name, urgency))
