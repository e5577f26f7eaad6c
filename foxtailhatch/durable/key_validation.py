"""Whether a key can be decided upon at all."""

from foxtailhatch.core import Refusal
from foxtailhatch.durable import claim_refusals as refusals
from foxtailhatch.durable.claim_requests import ClaimRequest
from foxtailhatch.durable.claim_settings import (
    MAX_CLOCK_SKEW_S,
    ClaimSettings,
)
from foxtailhatch.durable.claim_table import ClaimTable
from foxtailhatch.durable.keys import key_time
from foxtailhatch.durable.send_controller import run_state_without_claim


class KeyValidator:
    """The rules on a key's time, and on what its stream can tell of it."""

    def __init__(self, cfg: ClaimSettings, table: ClaimTable) -> None:
        """Judge by the settings and by what was read of the stream."""
        self._cfg = cfg
        self._table = table

    def refusal(self, now: float, req: ClaimRequest) -> Refusal | None:
        """Return why a request can't be decided upon, if so."""
        created_at = key_time(req.owner.key)
        if created_at is None:
            return refusals.malformed_key()
        # A clock that lags behind the log's must not accept an old key.
        latest = max(now, self._table.log_time)
        if latest > created_at + self._cfg.key_lifetime_s:
            return refusals.key_expired()
        if created_at > latest + MAX_CLOCK_SKEW_S:
            return refusals.key_time_in_future(run_state_without_claim(req))
        return self._unverifiable(now, created_at)

    def _unverifiable(self, now: float, created_at: float) -> Refusal | None:
        """Return why the stream can't tell about a key, if so."""
        mismatch_logged_at = self._table.mismatch_logged_at
        if mismatch_logged_at is not None:
            if now < mismatch_logged_at + self._cfg.key_lifetime_s:
                return refusals.partition_counts_differ()
        if not self._table.covers(created_at):
            return refusals.key_records_lost()
        return None
