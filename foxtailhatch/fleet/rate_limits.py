"""Limits on the rate of requests that endpoints name in their responses."""

from dataclasses import dataclass

from foxtailhatch.fleet.endpoint import LiveEndpoint


@dataclass(frozen=True, slots=True)
class _NamedLimit:
    """A limit of one incarnation, and when it was last named."""

    incarnation: int
    per_s: float
    named_at: float


class RateLimits:
    """The limits that endpoints have named, by the name of the endpoint.

    A limit holds for all entries together, and for as long as the responses of
    the endpoint name it.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, _NamedLimit] = {}

    def record(
        self, endpoint: LiveEndpoint, per_s: float | None, now: float
    ) -> bool:
        """Record what a response says; return whether the limit changed.

        ``per_s`` is ``None`` if the response names no limit.
        """
        known = self._limits.get(endpoint.name)
        if per_s is None:
            self._limits.pop(endpoint.name, None)
            return known is not None
        self._limits[endpoint.name] = _NamedLimit(
            endpoint.incarnation, per_s, now
        )
        return known is None or known.per_s != per_s
