"""The engine endpoints and their load, as routing sees them.

The pool is part of the blackboard: the daemon writes membership, load reports
and its own traffic to it, and the choosers read it.  It does no I/O; callers
pass the current time.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from foxtailhatch.core import Endpoint, LayerRange, LoadReport
from foxtailhatch.routing.prefix_index import PrefixIndex
from foxtailhatch.routing.view import EndpointView, ewma

SAME_ZONE_ROUND_TRIP_S = 0.0004
OTHER_ZONE_ROUND_TRIP_S = 0.0012


@dataclass(frozen=True, slots=True)
class Holder:
    """An endpoint and one range of layers that it holds."""

    view: EndpointView
    layers: LayerRange


HolderGroup = tuple[Holder, ...]


@dataclass(slots=True)
class Pool:
    """All engine endpoints that one entry knows.

    ``zone`` is the entry's own availability zone.  ``zone_round_trips`` gives
    the round-trip time from it to other zones in seconds, used until a round
    trip to an endpoint was observed.  ``queued_requests`` is the number of
    requests queued at the entry.
    """

    zone: str
    zone_round_trips: Mapping[str, float] = field(default_factory=dict)
    queued_requests: int = 0
    views: dict[str, EndpointView] = field(default_factory=dict)
    prefix_index: PrefixIndex = field(default_factory=PrefixIndex)
    _holders: dict[tuple[str, str], tuple[HolderGroup, ...]] = field(
        default_factory=dict,
    )

    def __iter__(self) -> Iterator[EndpointView]:
        """Iterate over the views of all endpoints."""
        return iter(self.views.values())

    def add(self, endpoint: Endpoint, *, usable: bool = True) -> None:
        """Add an endpoint, or update its description."""
        view = self.views.get(endpoint.name)
        if view is None:
            self.views[endpoint.name] = EndpointView(endpoint, usable)
            return
        view.endpoint = endpoint
        view.usable = usable

    def remove(self, name: str) -> None:
        """Remove an endpoint and all state of it."""
        if self.views.pop(name, None):
            self._holders.clear()
            self.prefix_index.remove_endpoint(name)

    def set_usable(self, name: str, *, usable: bool) -> None:
        """Set whether the choosers may use an endpoint."""
        view = self.views.get(name)
        if view:
            view.usable = usable

    def update_report(self, report: LoadReport, now: float) -> None:
        """Store the load report of a known endpoint if it is the newest."""
        view = self.views.get(report.endpoint)
        if view is None:
            return
        before = view.report.holdings if view.report else ()
        if view.update_report(report, now) and report.holdings != before:
            self._holders.clear()

    def record_stream_opened(
        self, name: str, prefill_tokens: int, now: float
    ) -> None:
        """Record that this entry sent a new stream and its prefill."""
        view = self.views.get(name)
        if view:
            view.add_own_load(1, prefill_tokens, now)

    def record_prefilled(
        self, name: str, prefill_tokens: int, now: float
    ) -> None:
        """Record that tokens of a stream's prefill were processed."""
        view = self.views.get(name)
        if view:
            view.add_own_load(0, -prefill_tokens, now)

    def record_stream_closed(
        self, name: str, now: float, remaining_prefill_tokens: int = 0
    ) -> None:
        """Record that a stream ended.

        ``remaining_prefill_tokens`` of its prompt were not yet prefilled.
        """
        view = self.views.get(name)
        if view:
            view.add_own_load(-1, -remaining_prefill_tokens, now)

    def observe_round_trip(self, name: str, seconds: float) -> None:
        """Add a round-trip time in seconds, measured by a ping."""
        view = self.views.get(name)
        if view:
            view.round_trip_s = ewma(view.round_trip_s, seconds)

    def observe_step(
        self,
        name: str,
        layers: int,
        seconds: float,
        now: float,
    ) -> None:
        """Add the time between sending a decoding step and its output.

        The step covers one position and ``layers`` layers; ``seconds``
        includes the network round trip.
        """
        view = self.views.get(name)
        if view and layers:
            busy_s = max(0, seconds - self.round_trip(view))
            view.observe_step(layers, busy_s, now)

    def observe_prefill(
        self,
        name: str,
        layers: int,
        tokens: int,
        seconds: float,
    ) -> None:
        """Add the time between sending a prefill and its output.

        ``seconds`` includes the network round trip.
        """
        view = self.views.get(name)
        if view and layers and tokens:
            busy_s = max(0, seconds - self.round_trip(view))
            view.prefill_layer_s = ewma(
                view.prefill_layer_s,
                busy_s / (layers * tokens),
            )

    def round_trip(self, view: EndpointView) -> float:
        """Return the expected round-trip time to an endpoint, in seconds."""
        if view.round_trip_s is not None:
            return view.round_trip_s
        zone = view.endpoint.availability_zone
        if zone == self.zone:
            return SAME_ZONE_ROUND_TRIP_S
        return self.zone_round_trips.get(zone, OTHER_ZONE_ROUND_TRIP_S)

    def holders(self, model: str, version: str) -> tuple[HolderGroup, ...]:
        """Return the holders of a model version, grouped by layer range.

        The result is cached until a report shows other holdings.
        """
        cached_groups = self._holders.get((model, version))
        if cached_groups is None:
            groups: dict[LayerRange, list[Holder]] = {}
            for view in self:
                for held in view.holding(model, version):
                    holder = Holder(view, held.layers)
                    groups.setdefault(held.layers, []).append(holder)
            cached_groups = tuple(tuple(group) for group in groups.values())
            self._holders[model, version] = cached_groups
        return cached_groups
