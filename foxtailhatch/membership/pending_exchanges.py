"""Gossip exchanges that wait for a reply."""

from dataclasses import dataclass

from foxtailhatch.core import Address
from foxtailhatch.membership.entry import Entry

ANSWER_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Exchange:
    """A sent digest that awaits a reply; ``is_retry`` after a timeout."""

    entry: Entry
    sent_at: float
    is_retry: bool = False


class PendingExchanges:
    """Track at most one pending exchange for each peer."""

    def __init__(self) -> None:
        """Create without pending exchanges."""
        self._pending: dict[str, Exchange] = {}

    def add(self, exchange: Exchange) -> None:
        """Add an exchange; it replaces a pending one with the same peer."""
        self._pending[exchange.entry.name] = exchange

    def remove(self, name: str) -> None:
        """Remove the exchange with a peer, as any message from it counts."""
        self._pending.pop(name, None)

    def is_pending(self, name: str) -> bool:
        """Return whether a reply of the peer is pending."""
        return name in self._pending

    def pop_overdue(self, now: float) -> list[Exchange]:
        """Remove and return the exchanges that have timed out."""
        return self._pop(
            [
                exchange
                for exchange in self._pending.values()
                if now >= exchange.sent_at + ANSWER_TIMEOUT_S
            ],
        )

    def pop_by_address(self, address: Address) -> list[Exchange]:
        """Remove and return the exchanges with a peer address."""
        return self._pop(
            [
                exchange
                for exchange in self._pending.values()
                if exchange.entry.peer_address == address
            ],
        )

    def _pop(self, exchanges: list[Exchange]) -> list[Exchange]:
        for exchange in exchanges:
            self.remove(exchange.entry.name)
        return exchanges
