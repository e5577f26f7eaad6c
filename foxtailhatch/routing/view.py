"""What one entry knows of one engine endpoint."""

from collections import deque
from dataclasses import dataclass, field

from foxtailhatch.core import Endpoint, Holding, LayerRange, LoadReport

HISTORY_CHANGES = 256
EWMA_SHARE = 0.2
DEFAULT_STEP_S = 0.02
OBSERVED_FOR_S = 10.0
PREFILL_TOKENS_PER_STEP = 64


def ewma(old: float | None, sample: float) -> float:
    """Return the moving average after ``sample``.

    >>> ewma(None, 2.0)
    2.0
    >>> ewma(1.0, 2.0)
    1.2
    """
    if old is None:
        return sample
    return old + EWMA_SHARE * (sample - old)


@dataclass(frozen=True, slots=True)
class OwnLoad:
    """The work of this entry on an endpoint from time ``since`` on."""

    since: float = float('-inf')
    streams: int = 0
    queued_tokens: int = 0


@dataclass(slots=True)
class EndpointView:
    """One endpoint as this entry sees it; times are wall time in seconds.

    ``own_load`` is this entry's own work there, ``history`` that work at its
    latest changes, newest last, and ``own_load_at_report`` what it was when the
    newest report was measured.
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
        """Return what the newest report holds of one model's version."""
        if self.report is None:
            return ()
        return tuple(
            held
            for held in self.report.holdings
            if held.model == model and held.version == version
        )

    def held_layers(self, asked: LayerRange) -> int:
        """Return how many layers the holding has that covers a range."""
        holdings = self.report.holdings if self.report else ()
        return min(
            (
                len(held.layers)
                for held in holdings
                if held.layers.covers(asked)
            ),
            default=len(asked),
        )

    def own_at(self, time: float) -> OwnLoad:
        """Return this entry's own work on the endpoint at ``time``."""
        if self.own_load.since <= time:
            return self.own_load
        for work in reversed(self.history):
            if work.since <= time:
                return work
        return OwnLoad()

    def change_own(self, streams: int, tokens: int, now: float) -> None:
        """Add to this entry's own streams and queued prefill tokens."""
        self.history.append(self.own_load)
        self.own_load = OwnLoad(
            now,
            max(0, self.own_load.streams + streams),
            max(0, self.own_load.queued_tokens + tokens),
        )

    def update_report(self, report: LoadReport, now: float) -> bool:
        """Keep a report unless as new a one is known; tell whether kept."""
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
        self.own_load_at_report = self.own_at(measured_at)
        self._forget_before(measured_at)
        return True

    def streams(self, growth: float = 1) -> float:
        """Estimate the streams that all entries now have on the endpoint.

        What this entry opened and closed there since the report was measured
        counts ``growth`` times, because the other entries that saw the same
        report have likely done the same.
        """
        if self.report is None:
            return self.own_load.streams
        since = self.own_load.streams - self.own_load_at_report.streams
        estimate = self.report.streams + growth * since
        return max(self.own_load.streams, estimate)

    def queued_tokens(self) -> int:
        """Estimate the prefill tokens that now wait at the endpoint."""
        if self.report is None:
            return self.own_load.queued_tokens
        others = (
            self.report.queued_tokens - self.own_load_at_report.queued_tokens
        )
        return max(0, others) + self.own_load.queued_tokens

    def has_room(self) -> bool:
        """Tell whether one more stream may be let in.

        Only what is known of others counts: an engine that is full says so
        itself, and a guess should not turn requests away.
        """
        if self.report is None:
            return False
        return self.streams() < self.report.max_streams

    def step_s(self) -> float:
        """Return the usual seconds of a step over all held layers."""
        return self.reported_step_s or DEFAULT_STEP_S

    def observe_step(self, layers: int, seconds: float, now: float) -> None:
        """Learn how long a step over ``layers`` took, the link left out."""
        layer_s = seconds / layers
        known = self.observed_layer_s if self._is_fresh(now) else None
        self.observed_layer_s = ewma(known, layer_s)
        self.observed_at = now

    def observed_step_s(self, layers: int, now: float) -> float:
        """Return the seconds that steps lately took; 0 if none were seen.

        What was seen long ago is left out, so that an endpoint which was slow
        once is tried again.
        """
        if self.observed_layer_s is None or not self._is_fresh(now):
            return 0
        return self.observed_layer_s * layers

    def prefill_s(self, layers: int, tokens: float) -> float:
        """Return the expected seconds to prefill all of the held layers."""
        if self.prefill_layer_s is None:
            return self.step_s() * tokens / PREFILL_TOKENS_PER_STEP
        return self.prefill_layer_s * layers * tokens

    def _forget_before(self, time: float) -> None:
        while self.history:
            later = self.history[1] if len(self.history) > 1 else self.own_load
            if later.since > time:
                break
            self.history.popleft()

    def _is_fresh(self, now: float) -> bool:
        return now - self.observed_at <= OBSERVED_FOR_S
