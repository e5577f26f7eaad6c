"""Writing a snapshot well before the log drops what a new reader needs.

Every instance runs this.  Each draws its own moment from a window that opens
long before the expiry; the first to reach it writes, and the others see its
snapshot and start over.
"""

import random

from foxtailhatch.config.coverage import Coverage
from foxtailhatch.config.fold import ConfigurationFold
from foxtailhatch.config.records import (
    CONFIGURATION_STREAM,
    encode_record,
)
from foxtailhatch.config.state import make_snapshot
from foxtailhatch.durable.append_attempt import AppendRecord

MIN_AGE_FRACTION = 0.25
MAX_AGE_FRACTION = 0.5
MIN_WRITE_INTERVAL_S = 30.0


class SnapshotWriter:
    """Decide when this instance writes a snapshot.

    ``retention_s`` is how long the log keeps a record, in seconds.
    """

    def __init__(self, retention_s: float, rng: random.Random) -> None:
        """Draw the age of the oldest needed record that this one acts at."""
        share = rng.uniform(MIN_AGE_FRACTION, MAX_AGE_FRACTION)
        self._age_s = retention_s * share
        self._hold_until = float(0)

    def step(
        self,
        now: float,
        fold: ConfigurationFold,
        caught_up: bool,
    ) -> AppendRecord | None:
        """Return the snapshot to append at ``now``, if one is due.

        ``caught_up`` says that the reader lately met the end of the stream:
        one that did not may write what others have written already.
        """
        state = fold.export_state()
        if not caught_up or not fold.is_complete or now < self._hold_until:
            return None
        if not self.is_due(now, state.coverage):
            return None
        self._hold_until = now + MIN_WRITE_INTERVAL_S
        return AppendRecord(
            CONFIGURATION_STREAM,
            encode_record(make_snapshot(state)),
        )

    def is_due(self, now: float, coverage: Coverage) -> bool:
        """Tell whether the oldest needed record is too old."""
        since = coverage.since
        return since is not None and now - since >= self._age_s
