"""The part of the blackboard that routing reads: engines and their load.

The daemon writes membership, reports and its own traffic into the pool; the
choosers read it.  Nothing here does I/O, and each change names its time.
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
    """An endpoint and one range of a model that it holds."""

    view: EndpointView
    layers: LayerRange


HolderGroup = tuple[Holder, ...]


@dataclass(slots=True)
class Pool:
    """All engine endpoints that one entry knows.

    ``zone`` is the entry's own availability zone, ``zone_round_trips`` the
    seconds of a round trip from it to others, used until one is observed.
    ``queued_requests`` is how many requests wait at the entry for a place to run.
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
        """Go through the views of all endpoints."""
        return iter(self.views.values())

    def add(self, endpoint: Endpoint, *, usable: bool = True) -> None:
        """Add an endpoint, or take its newer description."""
        view = self.views.get(endpoint.name)
        if view is None:
            self.views[endpoint.name] = EndpointView(endpoint, usable)
            return
        view.endpoint = endpoint
        view.usable = usable

    def remove(self, name: str) -> None:
        """Forget an endpoint and all that is known of it."""
        if self.views.pop(name, None):
            self._holders.clear()
            self.prefix_index.remove_endpoint(name)

    def set_usable(self, name: str, *, usable: bool) -> None:
        """Let the choosers use an endpoint, or keep them off it."""
        view = self.views.get(name)
        if view:
            view.usable = usable

    def update_report(self, report: LoadReport, now: float) -> None:
        """Keep a load report of a known endpoint if it is the newest."""
        view = self.views.get(report.endpoint)
        if view is None:
            return
        before = view.report.holdings if view.report else ()
        if view.update_report(report, now) and report.holdings != before:
            self._holders.clear()

    def note_stream_opened(
        self, name: str, prefill_tokens: int, now: float
    ) -> None:
        """Note that this entry sent a new stream and its prefill."""
        view = self.views.get(name)
        if view:
            view.change_own(1, prefill_tokens, now)

    def note_prefilled(
        self, name: str, prefill_tokens: int, now: float
    ) -> None:
        """Note that the prefill of a stream has been answered."""
        view = self.views.get(name)
        if view:
            view.change_own(0, -prefill_tokens, now)

    def note_stream_closed(
        self, name: str, now: float, remaining_prefill_tokens: int = 0
    ) -> None:
        """Note that a stream ended, with what was not yet prefilled of it."""
        view = self.views.get(name)
        if view:
            view.change_own(-1, -remaining_prefill_tokens, now)

    def observe_round_trip(self, name: str, seconds: float) -> None:
        """Learn from a ping how long the way to an endpoint and back is."""
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
        """Learn from the time between sending a step and its output.

        The step is one of decoding, over one position and ``layers`` layers;
        ``seconds`` includes the way there and back.
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
        """Learn from the time between sending a prefill and its output."""
        view = self.views.get(name)
        if view and layers and tokens:
            busy = max(0, seconds - self.round_trip(view))
            view.prefill_layer_s = ewma(
                view.prefill_layer_s,
                busy / (layers * tokens),
            )

    def round_trip(self, view: EndpointView) -> float:
        """Return the expected seconds of a round trip to an endpoint."""
        if view.round_trip_s is not None:
            return view.round_trip_s
        zone = view.endpoint.availability_zone
        if zone == self.zone:
            return SAME_ZONE_ROUND_TRIP_S
        return self.zone_round_trips.get(zone, OTHER_ZONE_ROUND_TRIP_S)

    def holders(self, model: str, version: str) -> tuple[HolderGroup, ...]:
        """Return who holds which layers of a model, one group a range.

        The result is kept until a report shows other holdings.
        """
        found = self._holders.get((model, version))
        if found is None:
            groups: dict[LayerRange, list[Holder]] = {}
            for view in self:
                for held in view.holding(model, version):
                    holder = Holder(view, held.layers)
                    groups.setdefault(held.layers, []).append(holder)
            found = tuple(tuple(group) for group in groups.values())
            self._holders[model, version] = found
        return found
