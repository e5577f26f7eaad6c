"""Take requests from the front and begin to relay them."""

from random import Random

from returns.result import Success

from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.refusal_response import send_refusal
from foxtailhatch.relay.refusals import RelayRefusal
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.request import CallerConnection, RelayRequest
from foxtailhatch.router.adapter import DecodeRequest
from foxtailhatch.router.admission import admit
from foxtailhatch.router.router_state import RouterState

# Until a configuration is known: the usual bound on bodies.
DEFAULT_BODY_BYTES = 4_194_304


class RequestHandler:
    """The way in for callers' requests."""

    def __init__(
        self,
        board: RouterState,
        parts: RelayContext,
        decode: DecodeRequest,
        random: Random,
    ) -> None:
        """Relay with ``parts`` what the configuration admits."""
        self.decode = decode
        self._board = board
        self._parts = parts
        self._random = random

    @property
    def body_limit(self) -> int:
        """Return the longest body, in bytes, that is read."""
        table = self._board.table
        if table is None:
            return DEFAULT_BODY_BYTES
        return table.cfg.limits.body_bytes

    @property
    def is_stopping(self) -> bool:
        """Tell whether a stop was asked."""
        return self._board.stop_requested_at is not None

    def accept(
        self, req: RelayRequest, caller: CallerConnection
    ) -> Relay | None:
        """Begin to relay a request, or refuse it."""
        now = self._parts.clock()
        if req.malformed_headers:
            self._parts.log.write(
                'header_unreadable',
                id=req.request_id,
                headers=req.malformed_headers,
            )
        verdict = admit(self._board, req, now, self._random)
        if not isinstance(verdict, Success):
            refusal = verdict.failure()
            self.refused(refusal, req.request_id)
            send_refusal(caller, refusal)
            return None
        relay = Relay(self._parts, verdict.unwrap(), caller, now)
        relay.begin()
        return relay

    def refused(self, refusal: RelayRefusal, request_id: str) -> None:
        """Count and write down a refusal."""
        now = self._parts.clock()
        table = self._board.table
        age_s = self._board.configuration_age(now)
        self._parts.metrics.record_outcome(refusal.reason.value, 0)
        self._parts.log.write(
            'refused',
            id=request_id,
            reason=refusal.reason.value,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
            version=None if table is None else table.version,
            age_s=None if table is None else round(age_s, 2),
        )
