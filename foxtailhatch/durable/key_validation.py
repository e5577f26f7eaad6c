"""Validation of idempotency keys by their age and the records read."""

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
    """Check the age of a key and whether its claims have all been read."""

    def __init__(self, cfg: ClaimSettings, table: ClaimTable) -> None:
        """Validate by the settings and the state of the claim stream."""
        self._cfg = cfg
        self._table = table

    def refusal(self, now: float, req: ClaimRequest) -> Refusal | None:
        """Return why the key of a request is invalid, or ``None``."""
        created_at = key_time(req.owner.key)
        if created_at is None:
            return refusals.malformed_key()
        # A clock behind the log's clock must not accept an expired key.
        latest = max(now, self._table.log_time)
        if latest > created_at + self._cfg.key_lifetime_s:
            return refusals.key_expired()
        if created_at > latest + MAX_CLOCK_SKEW_S:
            return refusals.key_time_in_future(run_state_without_claim(req))
        return self._unverifiable(now, created_at)

    def _unverifiable(self, now: float, created_at: float) -> Refusal | None:
        """Return why not all claims to a key can be known, or ``None``."""
        mismatch_logged_at = self._table.mismatch_logged_at
        if mismatch_logged_at is not None:
            if now < mismatch_logged_at + self._cfg.key_lifetime_s:
                return refusals.partition_counts_differ()
        if not self._table.covers(created_at):
            return refusals.key_records_lost()
        return None
