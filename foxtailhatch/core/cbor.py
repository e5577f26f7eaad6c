"""Decode CBOR from untrusted sources."""

from typing import Any

import cbor2

MAX_DEPTH = 8


def decode_cbor(frame: bytes) -> Any:
    """Return the value in ``frame``, or ``None`` if it is not valid CBOR.

    >>> decode_cbor(cbor2.dumps([1, 'a']))
    [1, 'a']
    """
    try:
        return cbor2.loads(
            frame,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            strict_hashable_types=True,
        )
    except Exception:
        # The decoder builds dates, patterns and numbers from tagged values
        # and does not catch the exceptions of their constructors.
        return None
