"""All that is known of one endpoint, and the rules that weigh it."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import Endpoint, Mark
from foxtailhatch.membership.endpoint_lines import endpoint_of, merge_endpoints
from foxtailhatch.outside import LiveInstance

LIST_LAG_S = 30.0
MISSING_KEEP_S = 60.0
REFUSED_KEEP_S = 10.0
MARK_KEEP_S = 3600.0
NEVER = float('-inf')


class EndpointState(StrEnum):
    """What an endpoint may be used for; only ``USABLE`` gets new work."""

    USABLE = 'usable'
    LEAVING = 'leaving'
    STOPPING = 'stopping'
    DEAD = 'dead'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class EndpointRecord:
    """The newest word of each source about one endpoint.

    Times are seconds of the caller's clock; ``None`` says that the source
    has not spoken, or that a newer word took its claim back.  ``joined_at``
    is the time before which a ``join`` mark outweighs all other claims.
    """

    listed: Endpoint | None = None
    configured: Endpoint | None = None
    missing_since: float | None = None
    mark: Mark | None = None
    mark_at: float = 0
    joined_at: float = NEVER
    mark_offset: int = -1
    list_leaving_since: float | None = None
    list_read_at: float = 0
    observed_leaving_at: float | None = None
    refused_at: float | None = None
    connected: bool = False

    def state(self, now: float) -> EndpointState:
        """Weigh all sources, by the order that :class:`EndpointTable` gives."""
        if self.mark is Mark.STOP:
            return EndpointState.STOPPING
        if self.leaving_since(now) is not None:
            return EndpointState.LEAVING
        if not self._is_known(now):
            return EndpointState.UNKNOWN
        if self._is_shown_dead(now):
            return EndpointState.DEAD
        return EndpointState.USABLE

    def take_mark(self, mark: Mark, now: float, made_at: float | None) -> None:
        """Take the newest mark of the log."""
        was_marked_out = self.mark in {Mark.LEAVE, Mark.STOP}
        self.mark = mark
        self.mark_at = now
        if mark is not Mark.JOIN:
            self.joined_at = NEVER
            return
        # An entry that starts reads marks of any age.  Only a join that took
        # back a mark seen here is known to be newer than the other claims.
        learned_at = now if was_marked_out else NEVER
        self.joined_at = learned_at if made_at is None else made_at
        self.refused_at = None
        observed = self.observed_leaving_at
        if observed is not None and observed <= self.joined_at:
            self.observed_leaving_at = None

    def leaving_since(self, now: float) -> float | None:
        """Return when the oldest claim in force that it leaves was learned."""
        claims = (
            self._marked_leaving_at(),
            self.observed_leaving_at,
            self._listed_leaving_at(),
        )
        return min(
            (claim for claim in claims if claim is not None),
            default=None,
        )

    def take_line(self, line: LiveInstance, now: float) -> None:
        """Take the list's line about this endpoint, read at ``now``."""
        known = self.listed
        if known is not None and known.address != line.address:
            # Another instance stands there under the same name.
            self.observed_leaving_at = None
            self.refused_at = None
            self.connected = False
        self.listed = endpoint_of(line)
        self.missing_since = None
        self.list_read_at = now
        if not line.leaving:
            self.list_leaving_since = None
            self._end_observation(now)
        elif self.list_leaving_since is None:
            self.list_leaving_since = now

    def take_absence(self, now: float) -> None:
        """Learn that the list read at ``now`` does not show it."""
        if self.listed is not None and self.missing_since is None:
            self.missing_since = now

    def merged(self) -> Endpoint | None:
        """Return the endpoint with the list's address and all labels."""
        if self.listed is None or self.configured is None:
            return self.listed or self.configured
        return merge_endpoints(self.listed, self.configured)

    def is_forgettable(self, now: float) -> bool:
        """Tell whether nothing of it is needed: the instance is long gone."""
        if self.configured is not None or self.connected:
            return False
        if self.missing_since is None:
            return False
        keep_s = MISSING_KEEP_S if self.mark is None else MARK_KEEP_S
        return now >= self.missing_since + keep_s

    def _end_observation(self, now: float) -> None:
        observed = self.observed_leaving_at
        if observed is not None and now >= observed + LIST_LAG_S:
            self.observed_leaving_at = None

    def _marked_leaving_at(self) -> float | None:
        if self.mark in {Mark.LEAVE, Mark.STOP}:
            return self.mark_at
        return None

    def _listed_leaving_at(self) -> float | None:
        since = self.list_leaving_since
        if since is None:
            return None
        # The list lags: what it said before a join may be older than the join.
        said_before_join = since <= self.joined_at
        list_may_lag = self.list_read_at < self.joined_at + LIST_LAG_S
        return None if said_before_join and list_may_lag else since

    def _is_known(self, now: float) -> bool:
        if self.configured is not None or self.connected:
            return True
        if self.listed is None:
            return False
        missing = self.missing_since
        return missing is None or now < missing + MISSING_KEEP_S

    def _is_shown_dead(self, now: float) -> bool:
        # An instance that the list shows is left to the health tracker,
        # which bounds how many may be put aside at once.
        is_listed = self.listed is not None and self.missing_since is None
        if is_listed or self.refused_at is None:
            return False
        return now < self.refused_at + REFUSED_KEEP_S
