"""Addresses where an unknown or a wrongly buried entry may be."""

from collections.abc import Iterable

from foxtailhatch.core import Address
from foxtailhatch.membership.entries import EntryTable

DEAD_KNOCK_ROUNDS = 10
DEAD_SHARE_MANY = 0.1


class Strangers:
    """Tell which addresses are worth a try."""

    def __init__(self, table: EntryTable, seeds: Iterable[Address]) -> None:
        """Start from ``seeds``, the peer addresses of the settings."""
        self._table = table
        self._seeds = frozenset(seeds)
        self._listed: frozenset[Address] = frozenset()

    def note_listed(self, addresses: Iterable[Address]) -> None:
        """Take the peer addresses that the platform's list shows."""
        self._listed = frozenset(addresses)

    def addresses(self, round_number: int) -> list[Address]:
        """Return the addresses to choose from in this round, sorted."""
        known = {entry.peer_address for entry in self._table.members()}
        dead = {entry.peer_address for entry in self._table.dead()}
        named = (self._seeds | self._listed) - known
        # Many dead at once may live behind a cut, so they are tried as often
        # as addresses of which nothing is known.
        is_cut_likely = len(dead) > DEAD_SHARE_MANY * self._table.count()
        is_dead_due = round_number % DEAD_KNOCK_ROUNDS == 0
        if is_cut_likely or is_dead_due:
            return sorted(named | dead)
        return sorted(named - dead)
