"""Addresses at which an unknown or falsely suspected entry may run."""

from collections.abc import Iterable

from foxtailhatch.core import Address
from foxtailhatch.membership.entries import EntryTable

DEAD_RETRY_ROUNDS = 10
PARTITION_DEAD_SHARE = 0.1


class DiscoveryAddresses:
    """Select addresses to contact beyond the known live peers."""

    def __init__(self, table: EntryTable, seeds: Iterable[Address]) -> None:
        """Create with ``seeds``, the peer addresses from the settings."""
        self._table = table
        self._seeds = frozenset(seeds)
        self._listed: frozenset[Address] = frozenset()

    def replace_listed(self, addresses: Iterable[Address]) -> None:
        """Replace the peer addresses from the platform's instance list."""
        self._listed = frozenset(addresses)

    def addresses(self, round_number: int) -> list[Address]:
        """Return the candidate addresses of this round, sorted.

        Addresses of dead entries are included every ``DEAD_RETRY_ROUNDS``
        rounds, or in each round if many entries are dead.
        """
        known_addresses = {
            entry.peer_address for entry in self._table.members()
        }
        dead = {entry.peer_address for entry in self._table.dead()}
        candidates = (self._seeds | self._listed) - known_addresses
        # Many dead entries at once suggest a network partition, so they are
        # contacted as often as unknown addresses.
        is_partition_likely = (
            len(dead) > PARTITION_DEAD_SHARE * self._table.count()
        )
        is_dead_retry_due = round_number % DEAD_RETRY_ROUNDS == 0
        if is_partition_likely or is_dead_retry_due:
            return sorted(candidates | dead)
        return sorted(candidates - dead)
