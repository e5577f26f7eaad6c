"""Calls between entries that concern the leader lease.

A holder that stops offers the lease to another entry, and one that cannot renew
it asks others how old their data are.  Older builds do not know the path and
answer with another status, which is neither an acceptance nor an age.
"""

from math import isfinite
from typing import Any, Protocol

import cbor2
from returns.result import Success

from foxtailhatch.core.cbor import decode_cbor
from foxtailhatch.relay.http_client import HttpCall, HttpClient
from foxtailhatch.router.entry_table import EntryRecord

LEASE_PATH = b'/lease'
# Calls of a network that is in order take some milliseconds, and between
# regions some hundred.
PEER_TIMEOUT_S = 0.35
STATUS_OK = 200
STATUS_REFUSED = 409


class PeerSilent:
    """The peer did not answer; it may be paused, dead or out of reach."""


class PeerUnaware:
    """The peer answered, but does not tell the age of its data."""


PeerAge = float | PeerSilent | PeerUnaware


class LeasePeers(Protocol):
    """Other entries, as far as they matter to the leader lease."""

    async def offer(self, peer: EntryRecord) -> bool:
        """Offer the lease; return whether the peer joins the group now."""

    async def data_age_s(self, peer: EntryRecord) -> PeerAge:
        """Return the time since the peer's configuration was confirmed."""


class NoPeers:
    """No other entry answers."""

    async def offer(self, _: EntryRecord) -> bool:
        """Return that nobody accepts."""
        return False

    async def data_age_s(self, _: EntryRecord) -> PeerAge:
        """Return that the peer is silent."""
        return PeerSilent()


class HttpLeasePeers:
    """Call the peers over HTTP."""

    def __init__(self, reactor: Any) -> None:
        """Keep a client with one connection for each address."""
        self._reactor = reactor
        self._clients: dict[str, HttpClient] = {}

    async def offer(self, peer: EntryRecord) -> bool:
        """Offer the lease; return whether the peer joins the group now."""
        called = await self._client(peer).call(
            HttpCall('POST', LEASE_PATH.decode(), timeout_s=PEER_TIMEOUT_S)
        )
        return (
            isinstance(called, Success) and called.unwrap().status == STATUS_OK
        )

    async def data_age_s(self, peer: EntryRecord) -> PeerAge:
        """Return the time since the peer's configuration was confirmed."""
        called = await self._client(peer).call(
            HttpCall('GET', LEASE_PATH.decode(), timeout_s=PEER_TIMEOUT_S)
        )
        if not isinstance(called, Success):
            return PeerSilent()
        response = called.unwrap()
        if response.status != STATUS_OK:
            return PeerUnaware()
        return decode_age(response.body)

    def _client(self, peer: EntryRecord) -> HttpClient:
        address = peer.peer_address
        if address not in self._clients:
            self._clients[address] = HttpClient(self._reactor, address, 1)
        return self._clients[address]


def encode_age(age_s: float) -> bytes:
    """Return the answer of an entry whose data have this age in seconds."""
    return bytes(cbor2.dumps({'age_s': age_s}))


def decode_age(raw: bytes) -> PeerAge:
    """Return the age of a peer's data in an answer.

    >>> decode_age(encode_age(1.5))
    1.5
    >>> isinstance(decode_age(b'?'), PeerUnaware)
    True
    >>> isinstance(decode_age(encode_age(-1)), PeerUnaware)
    True
    """
    document = decode_cbor(raw)
    age_s = document.get('age_s') if isinstance(document, dict) else None
    if isinstance(age_s, bool) or not isinstance(age_s, int | float):
        return PeerUnaware()
    is_age = isfinite(age_s) and age_s >= 0
    return float(age_s) if is_age else PeerUnaware()
