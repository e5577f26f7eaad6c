"""What all entries must agree on to run requests at most once."""

from dataclasses import dataclass

MAX_CLOCK_SKEW_S = 60.0
MAX_KEY_LIFETIME_S = 21_600.0


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """The claim streams and how long a key counts.

    ``parts`` is the number of claim streams, ``retention_s`` how long the
    log keeps a record.

    >>> ClaimSettings(8, 86400.0).key_lifetime_s
    21600.0
    >>> ClaimSettings(8, 7200.0).key_lifetime_s
    3480.0
    """

    partitions: int
    retention_s: float

    @property
    def key_lifetime_s(self) -> float:
        """Return for how long after its making a key is accepted.

        Half of the retention leaves a reader that starts late every claim
        to every key that is still accepted.  The bound keeps the table small.
        """
        half_s = self.retention_s / 2 - 2 * MAX_CLOCK_SKEW_S
        return min(half_s, MAX_KEY_LIFETIME_S)

    @property
    def key_retention_s(self) -> float:
        """Return for how long the claims to a key must be known."""
        return self.key_lifetime_s + 2 * MAX_CLOCK_SKEW_S
