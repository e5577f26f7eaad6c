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
from foxtailhatch.config.state import snapshot_of
from foxtailhatch.durable.append_attempt import AppendRecord

WINDOW_OPENS = 0.25
WINDOW_CLOSES = 0.5
HOLD_S = 30.0


class SnapshotWriter:
    """Decide when this instance writes a snapshot.

    ``retention_s`` is how long the log keeps a record, in seconds.
    """

    def __init__(self, retention_s: float, rng: random.Random) -> None:
        """Draw the age of the oldest needed record that this one acts at."""
        share = rng.uniform(WINDOW_OPENS, WINDOW_CLOSES)
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
        state = fold.export()
        if not caught_up or not fold.complete or now < self._hold_until:
            return None
        if not self.is_due(now, state.coverage):
            return None
        self._hold_until = now + HOLD_S
        return AppendRecord(
            CONFIGURATION_STREAM,
            encode_record(snapshot_of(state)),
        )

    def is_due(self, now: float, coverage: Coverage) -> bool:
        """Tell whether the oldest needed record is too old."""
        since = coverage.since
        return since is not None and now - since >= self._age_s
