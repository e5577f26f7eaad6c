"""One entry's view of an engine endpoint: its load and speed."""

from collections import deque
from dataclasses import dataclass, field

from foxtailhatch.core import Endpoint, Holding, LayerRange, LoadReport

HISTORY_CHANGES = 256
EWMA_ALPHA = 0.2
DEFAULT_STEP_S = 0.02
OBSERVATION_TTL_S = 10.0
PREFILL_TOKENS_PER_STEP = 64


def ewma(old: float | None, sample: float) -> float:
    """Return the exponentially weighted moving average after ``sample``.

    >>> ewma(None, 2.0)
    2.0
    >>> ewma(1.0, 2.0)
    1.2
    """
    if old is None:
        return sample
    return old + EWMA_ALPHA * (sample - old)


@dataclass(frozen=True, slots=True)
class OwnLoad:
    """The load that this entry put on an endpoint from ``since`` on."""

    since: float = float('-inf')
    streams: int = 0
    queued_tokens: int = 0


@dataclass(slots=True)
class EndpointView:
    """The state of one endpoint as this entry sees it.

    ``own_load`` is this entry's own load there, ``history`` its values before
    the latest changes, newest last, and ``own_load_at_report`` its value when
    the newest report was measured.  Times are in seconds of the pool's clock.
    """

    endpoint: Endpoint
    usable: bool = True
    report: LoadReport | None = None
    received_at: float = 0
    own_load: OwnLoad = OwnLoad()
    own_load_at_report: OwnLoad = OwnLoad()
    history: deque[OwnLoad] = field(
        default_factory=lambda: deque(maxlen=HISTORY_CHANGES),
    )
    reported_step_s: float | None = None
    round_trip_s: float | None = None
    prefill_layer_s: float | None = None
    observed_layer_s: float | None = None
    observed_at: float = float('-inf')

    def holding(self, model: str, version: str) -> tuple[Holding, ...]:
        """Return the holdings of a model version in the newest report."""
        if self.report is None:
            return ()
        return tuple(
            held
            for held in self.report.holdings
            if held.model == model and held.version == version
        )

    def held_layers(self, wanted_range: LayerRange) -> int:
        """Return the size of the smallest holding that covers a range.

        Return the size of the range itself if no holding covers it.
        """
        holdings = self.report.holdings if self.report else ()
        return min(
            (
                len(held.layers)
                for held in holdings
                if held.layers.covers(wanted_range)
            ),
            default=len(wanted_range),
        )

    def own_load_at(self, time: float) -> OwnLoad:
        """Return this entry's own load on the endpoint at ``time``."""
        if self.own_load.since <= time:
            return self.own_load
        for work in reversed(self.history):
            if work.since <= time:
                return work
        return OwnLoad()

    def add_own_load(self, streams: int, tokens: int, now: float) -> None:
        """Change this entry's own streams and queued prefill tokens."""
        self.history.append(self.own_load)
        self.own_load = OwnLoad(
            now,
            max(0, self.own_load.streams + streams),
            max(0, self.own_load.queued_tokens + tokens),
        )

    def update_report(self, report: LoadReport, now: float) -> bool:
        """Store a report that is newer than the stored one.

        Return whether the report was stored.
        """
        if self.report and report.measured_at <= self.report.measured_at:
            return False
        if report.step_seconds > 0:
            self.reported_step_s = ewma(
                self.reported_step_s,
                report.step_seconds,
            )
        self.report = report
        self.received_at = now
        measured_at = min(report.measured_at, now)
        self.own_load_at_report = self.own_load_at(measured_at)
        self._prune_history(measured_at)
        return True

    def streams(self, load_scale: float = 1) -> float:
        """Estimate the streams that all entries now have on the endpoint.

        The change of this entry's own streams since the report was measured
        is multiplied by ``load_scale``, because the other entries that saw
        the same report have likely made the same decisions.
        """
        if self.report is None:
            return self.own_load.streams
        since = self.own_load.streams - self.own_load_at_report.streams
        estimate = self.report.streams + load_scale * since
        return max(self.own_load.streams, estimate)

    def queued_tokens(self) -> int:
        """Estimate the prefill tokens that are now queued at the endpoint."""
        if self.report is None:
            return self.own_load.queued_tokens
        others = (
            self.report.queued_tokens - self.own_load_at_report.queued_tokens
        )
        return max(0, others) + self.own_load.queued_tokens

    def has_capacity(self) -> bool:
        """Return whether the endpoint has capacity for one more stream.

        The load of other entries since the report is not extrapolated here:
        an engine at capacity refuses by itself, and an estimate should not
        turn requests away.
        """
        if self.report is None:
            return False
        return self.streams() < self.report.max_streams

    def step_s(self) -> float:
        """Return the average reported time of a step over all held layers."""
        return self.reported_step_s or DEFAULT_STEP_S

    def observe_step(self, layers: int, seconds: float, now: float) -> None:
        """Add the time of a step over ``layers``, without the network."""
        layer_s = seconds / layers
        known = self.observed_layer_s if self._is_fresh(now) else None
        self.observed_layer_s = ewma(known, layer_s)
        self.observed_at = now

    def observed_step_s(self, layers: int, now: float) -> float:
        """Return the recently observed time of a step; 0 if there is none.

        Observations expire after ``OBSERVATION_TTL_S``, so that an endpoint
        that was slow once is tried again.
        """
        if self.observed_layer_s is None or not self._is_fresh(now):
            return 0
        return self.observed_layer_s * layers

    def prefill_s(self, layers: int, tokens: float) -> float:
        """Return the expected time to prefill ``tokens`` over ``layers``."""
        if self.prefill_layer_s is None:
            return self.step_s() * tokens / PREFILL_TOKENS_PER_STEP
        return self.prefill_layer_s * layers * tokens

    def _prune_history(self, time: float) -> None:
        while self.history:
            later = self.history[1] if len(self.history) > 1 else self.own_load
            if later.since > time:
                break
            self.history.popleft()

    def _is_fresh(self, now: float) -> bool:
        return now - self.observed_at <= OBSERVATION_TTL_S
