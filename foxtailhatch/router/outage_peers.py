"""Calls between entries about what each has seen of the store.

The answer is a list of ages in seconds, in the order of the fields of
:class:`OutageView`.  Further ones are a later build's, and are ignored; an older
build does not know the path and has no answer.
"""

from math import isfinite
from typing import Any, Protocol

import cbor2
from returns.result import Success

from foxtailhatch.core.cbor import decode_cbor
from foxtailhatch.relay.http_client import HttpCall, HttpClient
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.store_outage import OutageView

OUTAGE_PATH = b'/outage'
# Calls of a network that is in order take some milliseconds, and between
# regions some hundred.
PEER_TIMEOUT_S = 0.35
STATUS_OK = 200
_FIELD_COUNT = 4


class OutagePeers(Protocol):
    """Other entries, as far as they know the store."""

    async def view(self, peer: EntryRecord) -> OutageView | None:
        """Return what a peer has seen, in ages, or ``None`` without an answer."""


class HttpOutagePeers:
    """Call the peers over HTTP."""

    def __init__(self, reactor: Any) -> None:
        """Keep a client with one connection for each address."""
        self._reactor = reactor
        self._clients: dict[str, HttpClient] = {}

    async def view(self, peer: EntryRecord) -> OutageView | None:
        """Return what a peer has seen, in ages, or ``None`` without an answer."""
        address = peer.peer_address
        if address not in self._clients:
            self._clients[address] = HttpClient(self._reactor, address, 1)
        called = await self._clients[address].call(
            HttpCall('GET', OUTAGE_PATH.decode(), timeout_s=PEER_TIMEOUT_S)
        )
        if not isinstance(called, Success):
            return None
        response = called.unwrap()
        is_answer = response.status == STATUS_OK
        return decode_view(response.body) if is_answer else None


def encode_view(view: OutageView, now: float) -> bytes:
    """Return the answer of an entry, with the times of a view as ages."""
    times = (view.since, view.until, view.away_at, view.back_at)
    ages = [None if time is None else now - time for time in times]
    return bytes(cbor2.dumps(ages))


def decode_view(raw: bytes) -> OutageView | None:
    """Return the ages in an answer, or ``None`` if it is malformed.

    >>> decode_view(encode_view(OutageView(since=10, until=20), now=30)).since
    20
    >>> decode_view(b'?')
    """
    try:
        fields = decode_cbor(raw)
    except ValueError:
        return None
    if not isinstance(fields, list) or len(fields) < _FIELD_COUNT:
        return None
    since, until, away, back = fields[:_FIELD_COUNT]
    if not (_is_age(since) and _is_age(until)):
        return None
    if not all(age is None or _is_age(age) for age in (away, back)):
        return None
    return OutageView(since, until, away, back)


def _is_age(field: object) -> bool:
    if isinstance(field, bool) or not isinstance(field, int | float):
        return False
    return isfinite(field) and field >= 0
