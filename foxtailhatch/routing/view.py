"""What one entry knows of one engine endpoint."""

from collections import deque
from dataclasses import dataclass, field

from foxtailhatch.core import Endpoint, Holding, LoadReport
from foxtailhatch.routing.curve import DepthCurve

HISTORY_CHANGES = 256
EWMA_SHARE = 0.2
DEFAULT_LAYER_S = 0.001
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
class OwnWork:
    """The work of this entry on an endpoint from time ``since`` on."""

    since: float
    streams: int = 0
    queued_tokens: int = 0


@dataclass(slots=True)
class EndpointView:
    """One endpoint as this entry sees it; times are wall time in seconds.

    ``history`` holds this entry's own work at its latest changes, newest last,
    so that a report can be compared with what this entry had sent when the
    report was measured.
    """

    endpoint: Endpoint
    usable: bool = True
    report: LoadReport | None = None
    received_at: float = 0
    own: OwnWork = OwnWork(float('-inf'))
    history: deque[OwnWork] = field(
        default_factory=lambda: deque(maxlen=HISTORY_CHANGES),
    )
    curve: DepthCurve = field(default_factory=DepthCurve)
    round_trip_s: float | None = None
    prefill_layer_s: float | None = None

    def holding(self, model: str, version: str) -> tuple[Holding, ...]:
        """Return what the newest report holds of one model's version."""
        if self.report is None:
            return ()
        return tuple(
            held
            for held in self.report.holdings
            if held.model == model and held.version == version
        )

    def own_at(self, time: float) -> OwnWork:
        """Return this entry's own work on the endpoint at ``time``."""
        if self.own.since <= time:
            return self.own
        for work in reversed(self.history):
            if work.since <= time:
                return work
        return OwnWork(float('-inf'))

    def change_own(self, streams: int, tokens: int, now: float) -> None:
        """Add to this entry's own streams and queued prefill tokens."""
        self.history.append(self.own)
        self.own = OwnWork(
            now,
            max(0, self.own.streams + streams),
            max(0, self.own.queued_tokens + tokens),
        )

    def take_report(self, report: LoadReport, now: float) -> bool:
        """Keep a report unless a newer one is known; tell whether kept."""
        if self.report and report.measured_at < self.report.measured_at:
            return False
        if self.report is None or report.measured_at > self.report.measured_at:
            self._learn_curve(report)
        self.report = report
        self.received_at = now
        return True

    def streams(self) -> int:
        """Estimate the streams that all entries now have on the endpoint.

        The others' part is the report's count less what this entry had there
        when the report was measured; to it comes this entry's own part of now.
        """
        if self.report is None:
            return self.own.streams
        earlier = self._own_when_measured(self.report)
        others = self.report.streams - earlier.streams
        return max(0, others) + self.own.streams

    def queued_tokens(self) -> int:
        """Estimate the prefill tokens that now wait at the endpoint."""
        if self.report is None:
            return self.own.queued_tokens
        earlier = self._own_when_measured(self.report)
        others = self.report.queued_tokens - earlier.queued_tokens
        return max(0, others) + self.own.queued_tokens

    def has_room(self) -> bool:
        """Tell whether one more stream is expected to be let in."""
        if self.report is None:
            return False
        return self.streams() < self.report.max_streams

    def layer_s(self, depth: float) -> float:
        """Return the expected seconds of one layer of a decoding step."""
        if not self.curve.weight:
            return DEFAULT_LAYER_S
        return self.curve.at(depth)

    def prefill_s(self, tokens: int, depth: float) -> float:
        """Return the expected seconds to prefill ``tokens`` in one layer."""
        each = self.prefill_layer_s
        if each is None:
            each = self.layer_s(depth) / PREFILL_TOKENS_PER_STEP
        return tokens * each

    def _own_when_measured(self, report: LoadReport) -> OwnWork:
        return self.own_at(min(report.measured_at, self.received_at))

    def _learn_curve(self, report: LoadReport) -> None:
        layers = max(
            (len(held.layers) for held in report.holdings),
            default=0,
        )
        if layers and report.step_seconds > 0:
            self.curve.add(
                max(1, report.streams),
                report.step_seconds / layers,
            )
