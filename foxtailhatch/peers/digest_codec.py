"""Convert membership digests to and from their wire format."""

from typing import Any

from foxtailhatch.core import Address
from foxtailhatch.membership import (
    Digest,
    Entry,
    EntryState,
    LeaveNotice,
    RequestedReply,
    Suspicion,
)
from foxtailhatch.peers import wire

PERCENT_PER_UNIT = 100
_STATES = tuple(EntryState)


def encode_digest(digest: Digest) -> list[Any]:
    """Return a digest as nested lists, ready for CBOR encoding."""
    return [
        _encode_entry(digest.sender),
        digest.members,
        int(digest.requested_reply),
        [_encode_entry(entry) for entry in digest.entries],
        [[item.entry, item.incarnation] for item in digest.suspicions],
        [[item.endpoint, item.age_s] for item in digest.leaves],
    ]


def decode_digest(array: wire.DigestArray) -> Digest:
    """Return the digest of a validated array."""
    return Digest(
        sender=_decode_entry(array.sender),
        members=array.members,
        requested_reply=RequestedReply(array.want),
        entries=tuple(_decode_entry(item) for item in array.entries),
        suspicions=tuple(
            Suspicion(item.entry, item.incarnation) for item in array.suspicions
        ),
        leaves=tuple(
            LeaveNotice(item.endpoint, item.age_s) for item in array.leaves
        ),
    )


def _encode_entry(entry: Entry) -> list[Any]:
    # Earlier versions know no more fields, so the last is left out if empty.
    failed_requests = list(entry.failed_requests)
    return [
        entry.name,
        [entry.caller_address.host, entry.caller_address.port],
        [entry.peer_address.host, entry.peer_address.port],
        entry.availability_zone,
        entry.region,
        entry.incarnation,
        entry.heartbeat,
        _STATES.index(entry.state),
        min(wire.LOAD_MAX_PERCENT, round(entry.load * PERCENT_PER_UNIT)),
        entry.configuration_version,
        *([failed_requests] if failed_requests else []),
    ]


def _decode_entry(array: wire.EntryArray) -> Entry:
    return Entry(
        name=array.name,
        caller_address=Address(*array.caller_address),
        peer_address=Address(*array.peer_address),
        availability_zone=array.availability_zone,
        region=array.region,
        incarnation=array.incarnation,
        heartbeat=array.beat,
        state=_STATES[array.state],
        load=array.load_percent / PERCENT_PER_UNIT,
        configuration_version=array.configuration_version,
        failed_requests=tuple(array.failed_requests),
    )
