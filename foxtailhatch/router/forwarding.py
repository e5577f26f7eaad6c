"""Forward requests through another entry while this one is cut off.

Callers keep the advice of an entry for a while, so they come although it reaches
no endpoint.  Entries reach each other all the same, and another one that reaches
the service handles the request as if its caller had come there.  It is told
that the request was forwarded, and does not forward it again.
"""

from random import Random

from foxtailhatch.fleet import EndpointState, LiveEndpoint
from foxtailhatch.relay.attempt import Attempt
from foxtailhatch.relay.context import (
    RelayContext,
    SelectedChain,
    SelectedStage,
    SelectionRequest,
)
from foxtailhatch.relay.relay import Relay
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.zone_balancer import ZoneBalancer

# A sound endpoint or entry accepts a connection within milliseconds.
CONNECT_PAUSE_S = 0.25
# A request without progress for this long is moved once this entry is known to
# be cut off: one and a half times the longest pause that is still on time.
CUT_OFF_PAUSE_S = 0.3
# Another entry resolves stalls itself in less time than this.
FORWARDED_PAUSE_S = 1.1


class ForwardingSelector:
    """Select another entry for services that this one does not reach."""

    def __init__(
        self,
        board: Blackboard,
        random: Random,
        balancer: ZoneBalancer | None = None,
    ) -> None:
        """Select endpoints by load for services that are reached."""
        self._board = board
        self._direct = LoadAwareSelector(board, random, balancer)
        self._random = random

    def select(
        self, selection: SelectionRequest, now: float
    ) -> SelectedChain | None:
        """Return a chain, an endpoint or another entry; ``None`` if none is left.

        Load is spread over all entries with reach: those that are left in a
        zone may be too few for its requests.  If nobody has reach, the service
        itself may be in trouble, and its endpoints are tried.
        """
        service = selection.service.name
        if not self._board.reach.is_cut_off(service):
            return self._direct.select(selection, now)
        if selection.first is not None or selection.req.is_forwarded:
            return None
        entries = entries_with_reach(self._board, service, now)
        if not entries:
            return self._direct.select(selection, now)
        left = [one for one in entries if one.name not in selection.exclude]
        if not left:
            return None
        entry = self._random.choice(left)
        forward_to = LiveEndpoint(
            name=entry.name,
            service=service,
            address=entry.address,
            zone=entry.zone,
            slots=0,
            state=EndpointState.READY,
        )
        return (SelectedStage(forward_to, is_entry=True),)


class CutOffWatch:
    """Move requests on that wait for endpoints out of reach."""

    def __init__(self, board: Blackboard, context: RelayContext) -> None:
        """Watch the running requests of ``context``."""
        self._board = board
        self._context = context

    def step(self) -> None:
        """Check all running requests once."""
        now = self._context.clock()
        for relay in tuple(self._context.running):
            if relay.attempt is not None and not relay.attempt.is_over:
                self._check(relay, now)

    def _check(self, relay: Relay, now: float) -> None:
        attempt = relay.attempt
        if attempt is None:
            return
        pause_s = now - relay.last_progress_at
        is_slow = (
            not attempt.is_connected and now - attempt.sent_at > CONNECT_PAUSE_S
        )
        if attempt.is_forwarded:
            if is_slow or pause_s > FORWARDED_PAUSE_S:
                relay.move_on('unresponsive entry')
            return
        service = relay.admitted.service.name
        self._record(attempt, service, is_slow=is_slow)
        is_cut_off = self._board.reach.is_cut_off(service)
        if (
            is_cut_off
            and pause_s > CUT_OFF_PAUSE_S
            and entries_with_reach(self._board, service, now)
        ):
            relay.move_on('cut off')

    def _record(self, attempt: Attempt, service: str, *, is_slow: bool) -> None:
        """Record whether the endpoint has accepted the connection."""
        reach = self._board.reach
        if attempt.is_connected:
            reach.record_accepted(service, attempt.head_name, attempt.sent_at)
        elif is_slow:
            reach.record_failed(service, attempt.sent_at)


def entries_with_reach(
    board: Blackboard, service: str, now: float
) -> list[EntryRecord]:
    """Return the other entries that reach a service."""
    return [
        entry
        for entry in board.entries.ready(now)
        if entry.name != board.cfg.instance and service not in entry.unreached
    ]
