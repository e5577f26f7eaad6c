"""Read CBOR from another process, whatever stands in it."""

from typing import Any

import cbor2

DEPTH_MAX = 8


def read_cbor(frame: bytes) -> Any:
    """Return what the frame holds, ``None`` if it is not CBOR.

    >>> read_cbor(cbor2.dumps([1, 'a']))
    [1, 'a']
    """
    try:
        return cbor2.loads(
            frame,
            max_depth=DEPTH_MAX,
            allow_indefinite=False,
            strict_hashable_types=True,
        )
    except Exception:
        # The decoder builds dates, patterns and numbers of tagged values,
        # and lets whatever their constructors raise pass through.
        return None
