"""The exchanges whose answers have not come yet."""

from dataclasses import dataclass

from foxtailhatch.core import Address
from foxtailhatch.membership.entry import Entry

ANSWER_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Exchange:
    """A digest that awaits an answer; ``is_second`` after a first timeout."""

    entry: Entry
    sent_at: float
    is_second: bool = False


class Exchanges:
    """Hold at most one exchange with each peer."""

    def __init__(self) -> None:
        """Start with none."""
        self._awaited: dict[str, Exchange] = {}

    def begin(self, exchange: Exchange) -> None:
        """Await the answer of a peer."""
        self._awaited[exchange.entry.name] = exchange

    def end(self, name: str) -> None:
        """Await nothing of a peer any more: something came from it."""
        self._awaited.pop(name, None)

    def awaits(self, name: str) -> bool:
        """Tell whether an answer of the peer is awaited."""
        return name in self._awaited

    def take_overdue(self, now: float) -> list[Exchange]:
        """Return the exchanges whose time is over, and await them no more."""
        return self._take(
            [
                exchange
                for exchange in self._awaited.values()
                if now >= exchange.sent_at + ANSWER_TIMEOUT_S
            ],
        )

    def take_with(self, address: Address) -> list[Exchange]:
        """Return the exchanges with an address, and await them no more."""
        return self._take(
            [
                exchange
                for exchange in self._awaited.values()
                if exchange.entry.peer_address == address
            ],
        )

    def _take(self, exchanges: list[Exchange]) -> list[Exchange]:
        for exchange in exchanges:
            self.end(exchange.entry.name)
        return exchanges
