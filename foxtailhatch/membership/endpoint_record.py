"""State of one endpoint, derived from several sources of information."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import Endpoint, Mark
from foxtailhatch.membership.endpoint_sources import (
    endpoint_from_instance,
    merge_endpoint,
)
from foxtailhatch.outside import LiveInstance

LIST_LAG_S = 30.0
MISSING_TTL_S = 60.0
REFUSED_TTL_S = 10.0
MARK_TTL_S = 3600.0
NEVER = float('-inf')


class EndpointState(StrEnum):
    """State of an endpoint; only a ``USABLE`` one gets new work.

    A ``DRAINING`` endpoint has announced its leave, or is marked to leave; it
    completes the streams that are open.
    """

    USABLE = 'usable'
    DRAINING = 'leaving'
    STOPPING = 'stopping'
    DEAD = 'dead'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class EndpointRecord:
    """The latest information from each source about one endpoint.

    Times are seconds of the caller's clock; ``None`` means that the source
    has reported nothing or that newer information superseded it.  A
    ``join`` mark overrides claims that are older than ``join_effective_at``.
    """

    listed: Endpoint | None = None
    configured: Endpoint | None = None
    missing_since: float | None = None
    mark: Mark | None = None
    mark_at: float = 0
    join_effective_at: float = NEVER
    mark_offset: int = -1
    list_leaving_since: float | None = None
    list_read_at: float = 0
    observed_leaving_at: float | None = None
    refused_at: float | None = None
    connected: bool = False

    def state(self, now: float) -> EndpointState:
        """Return the state, by the precedence of :class:`EndpointTable`."""
        if self.mark is Mark.STOP:
            return EndpointState.STOPPING
        if self.leaving_since(now) is not None:
            return EndpointState.DRAINING
        if not self._is_known(now):
            return EndpointState.UNKNOWN
        if self._is_dead(now):
            return EndpointState.DEAD
        return EndpointState.USABLE

    def apply_mark(self, mark: Mark, now: float, made_at: float | None) -> None:
        """Apply the latest mark of the log.

        ``made_at`` is the time of the mark, ``None`` if it is not known.
        """
        was_excluded = self.mark in {Mark.LEAVE, Mark.STOP}
        self.mark = mark
        self.mark_at = now
        if mark is not Mark.JOIN:
            self.join_effective_at = NEVER
            return
        # A starting entry reads marks of any age.  Without a timestamp, a join
        # is known to be newer than the other claims only if it follows a
        # leave or stop mark that was read before.
        trusted_from = now if was_excluded else NEVER
        self.join_effective_at = trusted_from if made_at is None else made_at
        self.refused_at = None
        observed = self.observed_leaving_at
        if observed is not None and observed <= self.join_effective_at:
            self.observed_leaving_at = None

    def leaving_since(self, now: float) -> float | None:
        """Return the time of the oldest valid leave claim, ``None`` if none."""
        claims = (
            self._marked_leaving_since(),
            self.observed_leaving_at,
            self._listed_leaving_since(),
        )
        return min(
            (claim for claim in claims if claim is not None),
            default=None,
        )

    def apply_listing(self, instance: LiveInstance, now: float) -> None:
        """Apply the platform list's item for this endpoint, read at ``now``."""
        known = self.listed
        if known is not None and known.address != instance.address:
            # A new address means a new instance under the same name.
            self.observed_leaving_at = None
            self.refused_at = None
            self.connected = False
        self.listed = endpoint_from_instance(instance)
        self.missing_since = None
        self.list_read_at = now
        if not instance.leaving:
            self.list_leaving_since = None
            self._expire_observation(now)
        elif self.list_leaving_since is None:
            self.list_leaving_since = now

    def apply_absence(self, now: float) -> None:
        """Record that the list read at ``now`` does not contain it."""
        if self.listed is not None and self.missing_since is None:
            self.missing_since = now

    def merged(self) -> Endpoint | None:
        """Return the endpoint with its listed address and all its labels."""
        if self.listed is None or self.configured is None:
            return self.listed or self.configured
        return merge_endpoint(self.listed, self.configured)

    def is_removable(self, now: float) -> bool:
        """Return whether the instance has been gone for its retention time.

        Marks are kept longer, ``MARK_TTL_S`` after the instance disappeared.
        """
        if self.configured is not None or self.connected:
            return False
        if self.missing_since is None:
            return False
        keep_s = MISSING_TTL_S if self.mark is None else MARK_TTL_S
        return now >= self.missing_since + keep_s

    def _expire_observation(self, now: float) -> None:
        observed = self.observed_leaving_at
        if observed is not None and now >= observed + LIST_LAG_S:
            self.observed_leaving_at = None

    def _marked_leaving_since(self) -> float | None:
        if self.mark in {Mark.LEAVE, Mark.STOP}:
            return self.mark_at
        return None

    def _listed_leaving_since(self) -> float | None:
        since = self.list_leaving_since
        if since is None:
            return None
        # The list lags, so it may still show the state before the join.
        listed_before_join = since <= self.join_effective_at
        list_may_lag = self.list_read_at < self.join_effective_at + LIST_LAG_S
        return None if listed_before_join and list_may_lag else since

    def _is_known(self, now: float) -> bool:
        if self.configured is not None or self.connected:
            return True
        if self.listed is None:
            return False
        missing = self.missing_since
        return missing is None or now < missing + MISSING_TTL_S

    def _is_dead(self, now: float) -> bool:
        # A listed instance is handled by the health tracker, which limits
        # how many endpoints are ejected at the same time.
        is_listed = self.listed is not None and self.missing_since is None
        if is_listed or self.refused_at is None:
            return False
        return now < self.refused_at + REFUSED_TTL_S
