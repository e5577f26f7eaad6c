"""How old the data of an entry may get, whichever way they reach it.

The age of data is the time for which a change may have gone unnoticed: since
the read of the store that last confirmed them was sent, by this entry or by
the one that feeds it.  What counts is the age at the entry that handles a
request, so each entry watches its own and reads elsewhere in time: waiting for
the source to notice its own trouble would add up the timeouts of both.
"""

from dataclasses import dataclass

from foxtailhatch.router.settings import Bounds

# Time for a read of the store that is sent at the limit, and for a request on
# its way to the entry.
CATCH_UP_ALLOWANCE_S = 0.45
# A reader counts its read as lost this much later than fed entries theirs, as a
# slow store delays two reads in a row.
SLOW_STORE_ALLOWANCE_S = 0.4
# Polls between two changes of the limit: the age of what a fed entry gets
# covers two of them.
POLLS_PER_LIMIT = 2.5


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """Ages in seconds.

    An entry that is fed catches up from the store when its data are older than
    ``fed_s``; one that reads the store turns to its peers after ``reader_s``.
    The store is polled every ``poll_s`` at least.
    """

    fed_s: float
    reader_s: float
    poll_s: float

    @classmethod
    def of(cls, bounds: Bounds) -> 'AgeLimits':
        """Return the limits that keep data within the operators' bounds.

        >>> AgeLimits.of(Bounds(change_s=2.0, leaving_s=3.0)).fed_s
        1.55
        """
        bound_s = min(bounds.change_s, bounds.leaving_s)
        fed_s = max(bound_s - CATCH_UP_ALLOWANCE_S, bound_s / 2)
        return cls(
            fed_s, fed_s + SLOW_STORE_ALLOWANCE_S, fed_s / POLLS_PER_LIMIT
        )

    def next_check_s(self, age_s: float, *, is_reader: bool) -> float:
        """Return in how many seconds data of this age reach their limit."""
        limit_s = self.reader_s if is_reader else self.fed_s
        return limit_s - age_s
