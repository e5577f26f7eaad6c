"""Write a snapshot before records that a new reader needs expire.

Every instance runs this.  Each draws a random record age, as a fraction of
the retention, at which it writes a snapshot.  The first instance to reach its
age writes one; the others read it and start over.
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
# Time within which a snapshot of this instance is read back from the log; no
# other one is written before.
MIN_WRITE_INTERVAL_S = 30.0


class SnapshotWriter:
    """Schedules the snapshots that this instance writes.

    ``retention_s`` is how long the log keeps a record, in seconds.
    """

    def __init__(self, retention_s: float, rng: random.Random) -> None:
        """Draw the record age at which this instance writes a snapshot."""
        age_fraction = rng.uniform(MIN_AGE_FRACTION, MAX_AGE_FRACTION)
        self._due_age_s = retention_s * age_fraction
        self._next_write_at = float(0)

    def step(
        self,
        now: float,
        fold: ConfigurationFold,
        caught_up: bool,
    ) -> AppendRecord | None:
        """Return the snapshot to append at ``now``, if one is due.

        ``caught_up`` is whether the reader has recently reached the end of
        the stream.  Otherwise the stream may already hold a snapshot of
        another instance that the reader has not seen.
        """
        state = fold.export_state()
        if not caught_up or not fold.is_complete or now < self._next_write_at:
            return None
        if not self.is_due(now, state.coverage):
            return None
        self._next_write_at = now + MIN_WRITE_INTERVAL_S
        return AppendRecord(
            CONFIGURATION_STREAM,
            encode_record(make_snapshot(state)),
        )

    def is_due(self, now: float, coverage: Coverage) -> bool:
        """Return whether the oldest uncovered record has reached the age."""
        oldest_uncovered_time = coverage.oldest_uncovered_time
        return (
            oldest_uncovered_time is not None
            and now - oldest_uncovered_time >= self._due_age_s
        )
