"""Limit on the activations that entries send over the link between zones."""

from dataclasses import dataclass
from math import ceil

# All entries together may start this share of the link's rate.  The rest is for
# requests and events, and for activations that come in bursts.
LINK_SHARE = 0.5
# Credit that is not used within this time expires.  An engine group that fails
# makes all entries want a crossing at once: unexpired credit of 137 entries would
# occupy a link of 4,100 Mbit/s for 9 s, this one for a quarter of a second, as
# long as a stream may pause.
CREDIT_TTL_S = 0.5


@dataclass(frozen=True, slots=True)
class LinkUse:
    """The shared link, and the part that chains of one service may use.

    ``bytes_per_s`` is the rate of the link, ``services`` the number of
    services that use it and ``chain_bytes`` what a usual chain sends over one
    hop between zones.
    """

    bytes_per_s: float
    chain_bytes: float
    services: int = 1

    def entry_rate(self, zone_share: float, entries: int) -> float:
        """Return the bytes a second that an entry may start.

        ``zone_share`` is the share of its zone in the demand of all zones,
        which the ``entries`` of the zone divide among them.
        """
        rate = LINK_SHARE * self.bytes_per_s / max(1, self.services)
        return rate * zone_share / max(1, entries)


class CrossingLimit:
    """A token bucket in bytes, with a burst of one chain.

    A chain may start once there is credit for a usual chain.  A larger one
    leaves a debt that the next one waits for.

    >>> limit = CrossingLimit(LinkUse(200, chain_bytes=50), 1.0)
    >>> limit.update(50, now=0); limit.has_credit(0)
    True
    >>> limit.take(75, 0); limit.has_credit(1), limit.has_credit(1.5)
    (False, True)
    """

    def __init__(self, link: LinkUse, fill: float) -> None:
        """Start with the credit for ``fill`` of a usual chain.

        It should differ between entries, as the first crossings of all of
        them would start together otherwise.
        """
        self.link = link
        self._rate: float = 0
        self._level = fill * link.chain_bytes
        self._updated_at: float | None = None

    def update(self, rate: float, now: float) -> None:
        """Change the rate from ``now`` on."""
        self._fill(now)
        self._rate = rate

    def has_credit(self, now: float) -> bool:
        """Return whether a chain that crosses zones may start."""
        self._fill(now)
        return self._level >= self.link.chain_bytes

    def take(self, sent_bytes: float, now: float) -> None:
        """Take the credit of a chain that has started."""
        self._fill(now)
        self._level -= sent_bytes

    def _fill(self, now: float) -> None:
        if self._updated_at is not None:
            self._level += max(0, now - self._updated_at) * self._rate
        self._updated_at = now
        usual = self.link.chain_bytes
        excess = self._level - usual - self._rate * CREDIT_TTL_S
        if excess > 0 and usual > 0:
            self._level -= usual * ceil(excess / usual)
