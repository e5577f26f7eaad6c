"""Entries with default field values, for tests."""

from dataclasses import replace
from random import Random

from foxtailhatch.core import Address
from foxtailhatch.membership import Entry, EntryTable, Gossip


def entry(name, zone='a', region='r', **changes):
    """Return an entry that uses its name as the host of its addresses."""
    plain = Entry(
        name=name,
        caller_address=Address(name, 80),
        peer_address=Address(name, 90),
        availability_zone=zone,
        region=region,
    )
    return replace(plain, **changes)


def gossip_for(own, seeds=()):
    """Return a gossip controller with a fixed random source."""
    return Gossip(EntryTable(own), Random(1), seeds)
