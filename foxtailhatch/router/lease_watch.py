"""When an entry without the leader lease joins the group that grants it.

Each change of members may move the lease, and the store may deal it out anew
among them.  With one member there is nobody to move it to, so the others only
look who holds it, and join when nobody does: the most preferred reader at once,
the next one a little later.
"""

from collections.abc import Sequence

from foxtailhatch.router.entry_table import EntryRecord

# Pauses between two looks of the reader that would join first, and of the
# others.  A look is a call to the store at full price.
FIRST_LOOK_S = 0.75
NEXT_LOOK_S = 2.3
# A missing holder is looked for again after this time: the next reader joins
# later by more than it takes the one before to join.
STAGGER_S = 0.7
# A holder that no entry lists any more is gone, whatever the store says.
UNLISTED_S = 1.0
# After as many failed looks in a row, while the store answers other calls, an
# entry joins without knowing who holds the lease, as older builds do.
FAILED_LOOKS_MAX = 3


class LeaseWatch:
    """What is known of the holder, and how long there has been none."""

    def __init__(self, own: str) -> None:
        """Start without knowledge; ``own`` is the name of this entry."""
        self.holder: str | None = None
        self._former = ''
        self._readers: Sequence[str] = ()
        self._own = own
        self._looked_at = float('-inf')
        self._missing_since: float | None = None
        self._unlisted_since: float | None = None
        self._failed_looks = 0

    def is_due(self, readers: Sequence[EntryRecord], now: float) -> bool:
        """Return whether to look now; ``readers`` are all, best first."""
        is_failing = 0 < self._failed_looks < FAILED_LOOKS_MAX
        if self._missing_since is not None or is_failing:
            return True
        is_first = self._position(readers) == 0
        pause_s = FIRST_LOOK_S if is_first else NEXT_LOOK_S
        return now - self._looked_at >= pause_s

    def record_holder(
        self, holder: str, now: float, *, is_listed: bool
    ) -> None:
        """Record who holds the lease; an empty name means nobody.

        ``is_listed`` tells whether current heartbeats list that entry.
        """
        self.holder = holder
        self._former = holder or self._former
        self._looked_at = now
        self._failed_looks = 0
        self._unlisted_since = _since(
            self._unlisted_since, now, is_so=bool(holder) and not is_listed
        )
        is_missing = holder in {'', self._own} or self._is_gone(now)
        self._missing_since = _since(self._missing_since, now, is_so=is_missing)

    def record_failure(self, now: float) -> None:
        """Record that a look failed although the store can be reached."""
        self._looked_at = now
        self._failed_looks += 1

    def should_join(self, readers: Sequence[EntryRecord], now: float) -> bool:
        """Return whether this entry should become a member now."""
        if self._failed_looks >= FAILED_LOOKS_MAX:
            return True
        if self._missing_since is None:
            return False
        if self.holder == self._own:
            return True
        return now - self._missing_since >= STAGGER_S * self._position(readers)

    def is_held_by_another(self) -> bool:
        """Return whether another entry held the lease at the last look."""
        return self.holder not in {None, '', self._own}

    def _is_gone(self, now: float) -> bool:
        return (
            self._unlisted_since is not None
            and now - self._unlisted_since >= UNLISTED_S
        )

    def _position(self, readers: Sequence[EntryRecord]) -> int:
        """Return how many others would join before this entry.

        After an outage no list of readers is current, and the last one counts.
        """
        names = [entry.name for entry in readers]
        if self._own in names:
            self._readers = names
        others = [name for name in self._readers if name != self._former]
        return others.index(self._own) if self._own in others else len(others)


def _since(before: float | None, now: float, *, is_so: bool) -> float | None:
    """Return since when something is so, or ``None`` if it is not."""
    if not is_so:
        return None
    return now if before is None else before
