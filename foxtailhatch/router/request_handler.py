"""Admit decoded requests and start to relay them."""

from dataclasses import replace
from random import Random

from returns.result import Failure, Result, Success

from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.body_memory import BodyMemory
from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.refusal_response import send_refusal
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.request import CallerConnection, RelayRequest
from foxtailhatch.router.adapter import DecodeRequest
from foxtailhatch.router.admission import admit
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.caller_channel import CallerChannel
from foxtailhatch.router.crash_watch import CrashWatch

# Used until a configuration is known; the usual configured limit.
DEFAULT_MAX_BODY_BYTES = 4_194_304
# There is a verdict on a request after this time, if there is evidence for one.
RETRY_AFTER_SUSPECTED_S = 1.0


class RequestHandler:
    """Handle the requests that the HTTP front end receives."""

    def __init__(
        self,
        board: Blackboard,
        context: RelayContext,
        decode: DecodeRequest,
        random: Random,
        crash_watch: CrashWatch,
    ) -> None:
        """Relay requests with ``context``; ``random`` picks among shares."""
        self.decode = decode
        self._board = board
        self._context = context
        self._random = random
        self._crash_watch = crash_watch

    @property
    def max_body_bytes(self) -> int:
        """Return the maximum size of a request body in bytes."""
        table = self._board.table
        if table is None:
            return DEFAULT_MAX_BODY_BYTES
        return table.cfg.limits.body_bytes

    @property
    def bodies(self) -> BodyMemory:
        """Return the memory that bodies may take."""
        bodies: BodyMemory = self._context.bodies
        return bodies

    @property
    def is_stopping(self) -> bool:
        """Return whether a stop was requested."""
        return self._board.stop_requested_at is not None

    def channel_opened(self, channel: CallerChannel) -> None:
        """Add a new connection."""
        self._board.channels.add(channel)

    def channel_closed(self, channel: CallerChannel) -> None:
        """Remove a connection that has ended."""
        self._board.channels.discard(channel)

    def record_undelivered(self, request_id: str) -> None:
        """Count and log an answer of which a part was not sent."""
        self._context.metrics.record_undelivered('caller_left')
        self._context.log.write(
            'answer_undelivered', id=request_id, why='caller_left'
        )

    def start_relay(
        self, req: RelayRequest, caller: CallerConnection
    ) -> Relay | None:
        """Start to relay a request, or refuse it and return ``None``."""
        now = self._context.clock()
        if req.malformed_headers:
            self._context.log.write(
                'header_unreadable',
                id=req.request_id,
                headers=req.malformed_headers,
            )
        admitted = admit(self._board, req, now, self._random).bind(
            lambda passed: self._check_quarantine(passed, now)
        )
        if not isinstance(admitted, Success):
            refusal = admitted.failure()
            self.record_refusal(refusal, req.request_id)
            send_refusal(caller, refusal)
            return None
        relay = Relay(self._context, admitted.unwrap(), caller, now)
        relay.begin()
        return relay

    def _check_quarantine(
        self, admitted: AdmittedRequest, now: float
    ) -> Result[AdmittedRequest, RelayRefusal]:
        """Refuse a request with a quarantined part, unless it is a trial.

        A request that was lost in several crashes is refused until there is a
        verdict, as it would wait for that at this entry.
        """
        quarantine = self._board.quarantine
        parts = quarantine.blocking(admitted.req.suspects)
        if not parts:
            return self._check_suspicion(admitted, now)
        quarantine.record_request(parts, now)
        if self._crash_watch.take_trial(parts, now):
            self._context.log.write(
                'part_tried', id=admitted.req.request_id, part=parts[0]
            )
            return Success(replace(admitted, is_trial=True))
        retry_after_s = quarantine.retry_after_s(parts, now)
        return Failure(RelayRefusal(RefusalReason.QUARANTINED, retry_after_s))

    def _check_suspicion(
        self, admitted: AdmittedRequest, now: float
    ) -> Result[AdmittedRequest, RelayRefusal]:
        if self._crash_watch.may_repeat(admitted.req, now):
            return Success(admitted)
        return Failure(
            RelayRefusal(RefusalReason.SUSPECTED, RETRY_AFTER_SUSPECTED_S)
        )

    def record_refusal(self, refusal: RelayRefusal, request_id: str) -> None:
        """Count and log a refusal."""
        now = self._context.clock()
        table = self._board.table
        age_s = self._board.configuration_age(now)
        self._context.metrics.record_outcome(refusal.reason.value, 0)
        self._context.log.write(
            'refused',
            id=request_id,
            reason=refusal.reason.value,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
            version=None if table is None else table.version,
            age_s=None if table is None else round(age_s, 2),
        )
