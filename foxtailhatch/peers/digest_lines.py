"""Convert digests of the membership to and from their wire shapes."""

from typing import Any

from foxtailhatch.core import Address
from foxtailhatch.membership import (
    Digest,
    Entry,
    EntryState,
    LeaveNotice,
    Suspicion,
    Want,
)
from foxtailhatch.peers import wire

PERCENT = 100
_STATES = tuple(EntryState)


def to_lines(digest: Digest) -> list[Any]:
    """Return the CBOR array of a digest."""
    return [
        _entry_line(digest.sender),
        digest.members,
        int(digest.want),
        [_entry_line(entry) for entry in digest.entries],
        [[one.entry, one.incarnation] for one in digest.suspicions],
        [[one.endpoint, one.age_s] for one in digest.leaves],
    ]


def from_line(line: wire.DigestLine) -> Digest:
    """Return the digest that a validated shape stands for."""
    return Digest(
        sender=_entry(line.sender),
        members=line.members,
        want=Want(line.want),
        entries=tuple(_entry(one) for one in line.entries),
        suspicions=tuple(
            Suspicion(one.entry, one.incarnation) for one in line.suspicions
        ),
        leaves=tuple(
            LeaveNotice(one.endpoint, one.age_s) for one in line.leaves
        ),
    )


def _entry_line(entry: Entry) -> list[Any]:
    return [
        entry.name,
        [entry.caller_address.host, entry.caller_address.port],
        [entry.peer_address.host, entry.peer_address.port],
        entry.availability_zone,
        entry.region,
        entry.incarnation,
        entry.heartbeat,
        _STATES.index(entry.state),
        min(wire.LOAD_MAX, round(entry.load * PERCENT)),
        entry.configuration_version,
    ]


def _entry(line: wire.EntryLine) -> Entry:
    return Entry(
        name=line.name,
        caller_address=Address(*line.caller_address),
        peer_address=Address(*line.peer_address),
        availability_zone=line.availability_zone,
        region=line.region,
        incarnation=line.incarnation,
        heartbeat=line.beat,
        state=_STATES[line.state],
        load=line.load_percent / PERCENT,
        configuration_version=line.configuration_version,
    )
