"""Layers observed at endpoints before the endpoint list shows them."""

from dataclasses import dataclass

from foxtailhatch.core import LayerRange

# The list may lag behind an observation by two heartbeats of endpoints.
LIST_LAG_S = 2.5
# An endpoint that releases layers refuses them while the list still shows
# them, until all streams through them have ended.  After this time an order
# without a confirmation is planned again.
RELEASE_MAX_S = 8.0


@dataclass(frozen=True, slots=True)
class _Observation:
    layers: LayerRange | None
    since: float
    listed: LayerRange | None

    def is_part(self) -> bool:
        """Return whether the endpoint holds less than the list shows."""
        if self.layers is None or self.listed is None:
            return self.layers is None
        return self.listed.covers(self.layers) and self.layers != self.listed


class ObservedLayers:
    """Observed layers, as long as they take precedence over the list.

    >>> observed = ObservedLayers()
    >>> observed.record('e1', None, listed=LayerRange(0, 4), now=0)
    >>> observed.newer_than('e1', LayerRange(0, 4), now=1)
    (True, None)
    >>> observed.newer_than('e1', LayerRange(0, 4), now=9)
    (False, None)
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._observations: dict[str, _Observation] = {}

    def record(
        self,
        name: str,
        layers: LayerRange | None,
        listed: LayerRange | None,
        now: float,
    ) -> None:
        """Record the layers that an endpoint holds, and the listed ones."""
        self._observations[name] = _Observation(layers, now, listed)

    def remove(self, name: str) -> None:
        """Drop the observation of an endpoint."""
        self._observations.pop(name, None)

    def newer_than(
        self,
        name: str,
        listed: LayerRange | None,
        now: float,
    ) -> tuple[bool, LayerRange | None]:
        """Return whether an observation takes precedence, and its layers.

        An expired observation is dropped.
        """
        observation = self._observations.get(name)
        if observation is None:
            return False, None
        is_releasing = observation.is_part() and listed == observation.listed
        valid_for_s = RELEASE_MAX_S if is_releasing else LIST_LAG_S
        if now - observation.since < valid_for_s:
            return True, observation.layers
        self.remove(name)
        return False, None
