"""Take requests from the front and begin to relay them."""

from random import Random

from returns.result import Success

from foxtailhatch.relay.parts import RelayParts
from foxtailhatch.relay.refusals import RelayRefusal
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.replies import answer_refusal
from foxtailhatch.relay.request import CallerSide, RelayRequest
from foxtailhatch.router.adapter import DecodeRequest
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.gatekeeper import admit

# Until a configuration is known: the usual bound on bodies.
DEFAULT_BODY_BYTES = 4_194_304


class Door:
    """The way in for callers' requests."""

    def __init__(
        self,
        board: Blackboard,
        parts: RelayParts,
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
        return self._board.stop_asked_at is not None

    def accept(self, req: RelayRequest, caller: CallerSide) -> Relay | None:
        """Begin to relay a request, or refuse it."""
        now = self._parts.clock()
        if req.unreadable:
            self._parts.log.write(
                'header_unreadable',
                id=req.request_id,
                headers=req.unreadable,
            )
        verdict = admit(self._board, req, now, self._random)
        if not isinstance(verdict, Success):
            refusal = verdict.failure()
            self.refused(refusal, req.request_id)
            answer_refusal(caller, refusal)
            return None
        relay = Relay(self._parts, verdict.unwrap(), caller, now)
        relay.begin()
        return relay

    def refused(self, refusal: RelayRefusal, request_id: str) -> None:
        """Count and write down a refusal."""
        now = self._parts.clock()
        table = self._board.table
        age_s = self._board.configuration_age(now)
        self._parts.metrics.ended(refusal.reason.value, 0)
        self._parts.log.write(
            'refused',
            id=request_id,
            reason=refusal.reason.value,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
            version=None if table is None else table.version,
            age_s=None if table is None else round(age_s, 2),
        )
