"""Bounded pool of a node's open links, by peer address."""

from collections import OrderedDict

from foxtailhatch.core import Address
from foxtailhatch.peers.link import PeerLink

LINKS_MAX = 32


class LinkPool:
    """Pool of links with eviction of the least recently used one.

    Two links with the same peer can coexist if each side opened one.  The
    most recent one is used for sending, as the other one may no longer
    deliver.
    """

    def __init__(self, size: int = LINKS_MAX) -> None:
        """Create an empty pool for at most ``size`` links."""
        self._size = size
        self._addresses: OrderedDict[PeerLink, Address] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of open links."""
        return len(self._addresses)

    def add(self, address: Address, link: PeerLink) -> PeerLink | None:
        """Add a link; return the evicted least recently used one, if any."""
        self._addresses[link] = address
        if len(self._addresses) <= self._size:
            return None
        evicted, _ = self._addresses.popitem(last=False)
        return evicted

    def remove(self, link: PeerLink) -> None:
        """Remove a closed link, if it is in the pool."""
        self._addresses.pop(link, None)

    def get_newest(self, address: Address) -> PeerLink | None:
        """Return the newest link to the address and mark it as used."""
        links = self.links_to(address)
        if not links:
            return None
        newest = links[-1]
        self._addresses.move_to_end(newest)
        return newest

    def links_to(self, address: Address) -> list[PeerLink]:
        """Return the links to the address, most recently used last."""
        return [
            link
            for link, link_address in self._addresses.items()
            if link_address == address
        ]

    def all_links(self) -> list[PeerLink]:
        """Return all links."""
        return list(self._addresses)
