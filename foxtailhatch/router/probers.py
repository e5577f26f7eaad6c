"""Few entries probe a chain whose streams pause; the others wait for them.

All entries of a zone have streams over the same chains.  If one stalls, all
notice it within milliseconds, and probes from each of them would cost more
than the requests themselves.  So a few entries, other ones for each chain,
probe at once and publish what they find.  The others probe only if their
streams still pause after the time that such news takes.
"""

from zlib import crc32

from foxtailhatch.router.blackboard import Blackboard

# Entries that probe at once.  Each of them may have no stream over the chain,
# or may be in trouble itself.
FIRST_PROBERS = 3
# Entries that ask each dead endpoint again; one may have just been cut off.
REVIVAL_PROBERS = 2
# The time covers two probes, a write to the store, a read and a feed response.
NEWS_DELAY_S = 0.4


def probe_delay_s(board: Blackboard, head: str, now: float) -> float:
    """Return how much longer than a first prober this entry has to wait.

    ``head`` is the name of the chain's head.
    """
    own = board.cfg.instance
    own_weight = _weight(own, head)
    earlier = sum(
        _weight(entry.name, head) < own_weight
        for entry in board.entries.ready(now)
        if entry.zone == board.cfg.zone and entry.name != own
    )
    return 0 if earlier < FIRST_PROBERS else NEWS_DELAY_S


def is_revival_prober(board: Blackboard, endpoint: str, now: float) -> bool:
    """Return whether this entry is one of those that ask a dead endpoint.

    Entries of all zones share this, but those that are cut off.
    """
    own = board.cfg.instance
    own_weight = _weight(own, endpoint)
    earlier = sum(
        _weight(entry.name, endpoint) < own_weight
        for entry in board.entries.ready(now)
        if entry.name != own and not entry.unreached
    )
    return earlier < REVIVAL_PROBERS


def _weight(entry: str, head: str) -> int:
    """Return the rank of an entry for a chain, the same at all entries."""
    return crc32(f'{entry} {head}'.encode())
