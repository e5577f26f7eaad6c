"""Idempotency keys, their creation time and their claim partition.

A key must contain its creation time.  Claims expire with the log's retention;
a new key without a time could not be distinguished from one whose claim has
expired, so its request might run twice.
"""

import hashlib
import random
import re
from collections.abc import Iterable
from uuid import UUID

KEY_TIME_BITS = 80
TIMED_UUID_VERSION = 7
MS_PER_S = 1000
MAX_KEY_CHARS = 100
DIGEST_BYTES = 8
UNIQUE_BYTES = 10
_SECONDS_PREFIX = re.compile(r'(\d{10})-\S+', re.ASCII)


def key_time(key: str) -> float | None:
    """Return the creation time of a key in seconds, or ``None`` if invalid.

    A key is a UUID of version 7 (RFC 9562), or ten digits of Unix time in
    seconds, a hyphen, and text without spaces that makes it unique.

    >>> key_time('1796356800-reel-7-ann')
    1796356800.0
    >>> key_time('01900000-0000-7000-8000-000000000000')
    1717986918.4
    >>> key_time('7d44d5a1-3b0f-4c56-9b3e-0d7d2b2f4a11') is None
    True
    """
    if len(key) > MAX_KEY_CHARS:
        return None
    try:
        parsed = UUID(key)
    except ValueError:
        match = _SECONDS_PREFIX.fullmatch(key)
        return float(match[1]) if match else None
    if parsed.version != TIMED_UUID_VERSION:
        return None
    return (parsed.int >> KEY_TIME_BITS) / MS_PER_S


def issue_key(now: float, rng: random.Random) -> str:
    """Return a new key for a caller that can't create one.

    >>> key_time(issue_key(1796356800.0, random.Random(1)))
    1796356800.0
    """
    seconds = int(now)
    unique = rng.randbytes(UNIQUE_BYTES).hex()
    return f'{seconds}-{unique}'


def partition_of(account: str, key: str, partitions: int) -> int:
    """Return the claim partition of a key, from 0 to ``partitions`` - 1.

    >>> partition_of('ward', '1796356800-a', 1)
    0
    """
    return int.from_bytes(_digest(account, key)) % partitions


def partition_stream(partition: int) -> str:
    """Return the stream name of a claim partition."""
    return f'claims-{partition}'


def partition_readers(
    partition: int, entries: Iterable[str], count: int
) -> list[str]:
    """Return the entries that should read a partition, in order of rank.

    Rendezvous hashing reassigns few partitions when an entry joins or leaves.
    The result is a hint: entries that disagree about it read more or forward
    more, but can't run a request twice, since the order of the log decides
    which claim holds a key.
    """
    ranked = sorted(entries, key=lambda entry: _digest(str(partition), entry))
    return ranked[:count]


def _digest(*texts: str) -> bytes:
    joined = '\0'.join(texts)
    return hashlib.blake2b(joined.encode(), digest_size=DIGEST_BYTES).digest()
