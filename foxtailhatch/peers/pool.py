"""The open links of a node, at most so many, by the peer's address."""

from collections import OrderedDict

from foxtailhatch.core import Address
from foxtailhatch.peers.link import PeerLink

LINKS_MAX = 32


class LinkPool:
    """Find the newest link with an address; tell which link is one too many.

    Two links with one peer may stand for a while, when each side opened one.
    The newest is used for sending, as the older one may have gone silent.
    """

    def __init__(self, size: int = LINKS_MAX) -> None:
        """Start empty, for at most ``size`` links."""
        self._size = size
        self._addresses: OrderedDict[PeerLink, Address] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of open links."""
        return len(self._addresses)

    def add(self, address: Address, link: PeerLink) -> PeerLink | None:
        """Take a new link; return the least recently used if over the size."""
        self._addresses[link] = address
        if len(self._addresses) <= self._size:
            return None
        evicted, _ = self._addresses.popitem(last=False)
        return evicted

    def remove(self, link: PeerLink) -> None:
        """Forget a link that closed."""
        self._addresses.pop(link, None)

    def get_newest(self, address: Address) -> PeerLink | None:
        """Return the newest link with the address, now the last used one."""
        links = self.links_to(address)
        if not links:
            return None
        newest = links[-1]
        self._addresses.move_to_end(newest)
        return newest

    def links_to(self, address: Address) -> list[PeerLink]:
        """Return the links with the address, the last used one last."""
        return [
            link
            for link, link_address in self._addresses.items()
            if link_address == address
        ]

    def all_links(self) -> list[PeerLink]:
        """Return all links."""
        return list(self._addresses)
