"""Requests under which endpoints failed one after the other, for a while."""

from collections.abc import Sequence
from hashlib import blake2b

import cbor2

# A request is refused for this time; after it one more try may be sound.
REFUSED_S = 60.0
# The newest are kept, as they are announced to all other entries.
MAX_REQUESTS = 16
FINGERPRINT_BYTES = 8


def answer_fingerprint(account: str, model: str, prompt: Sequence[int]) -> str:
    """Return what is the same whenever an account asks for an answer again.

    >>> answer_fingerprint('ward', 'm', [1, 2]) == answer_fingerprint(
    ...     'ward', 'm', (1, 2)
    ... )
    True
    """
    asked = cbor2.dumps([account, model, list(prompt)])
    return blake2b(asked, digest_size=FINGERPRINT_BYTES).hexdigest()


class FailedRequests:
    """The requests that one entry has given up, by fingerprint.

    >>> failed = FailedRequests()
    >>> failed.add('f1', now=5.0)
    >>> failed.current(now=6.0)
    ('f1',)
    """

    def __init__(self) -> None:
        """Start with no request."""
        self._failed_at: dict[str, float] = {}

    def add(self, fingerprint: str, now: float) -> None:
        """Record that endpoints failed under a request."""
        self._failed_at.pop(fingerprint, None)
        self._failed_at[fingerprint] = now
        while len(self._failed_at) > MAX_REQUESTS:
            self._failed_at.pop(next(iter(self._failed_at)))

    def current(self, now: float) -> tuple[str, ...]:
        """Return the requests to refuse."""
        return tuple(
            fingerprint
            for fingerprint, failed_at in self._failed_at.items()
            if now - failed_at <= REFUSED_S
        )
