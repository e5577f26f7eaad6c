"""Read CBOR from another process, whatever stands in it."""

from typing import Any

import cbor2

MAX_DEPTH = 8


def decode_cbor(frame: bytes) -> Any:
    """Return what the frame holds, ``None`` if it is not CBOR.

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
        # The decoder builds dates, patterns and numbers of tagged values,
        # and lets whatever their constructors raise pass through.
        return None
