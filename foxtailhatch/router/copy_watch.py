"""Report how many engines hold the rarest layer of each zone."""

from foxtailhatch.placement.coverage import ServedLayers
from foxtailhatch.relay.structured_log import StructuredLog

# Shortest time between two looks at all layers, which takes a few milliseconds
# with a thousand engines.
WATCH_PERIOD_S = 0.5


class CopyWatch:
    """Write a line whenever the least number of copies in a zone changes."""

    def __init__(self, log: StructuredLog) -> None:
        """Start without knowing any zone."""
        self._log = log
        self._least: dict[tuple[str, str], int] = {}
        self._without_since: dict[tuple[str, str], float] = {}
        self._next_at: dict[str, float] = {}

    def is_due(self, service: str, now: float) -> bool:
        """Return whether it is time to look at a service again."""
        if now < self._next_at.get(service, now):
            return False
        self._next_at[service] = now + WATCH_PERIOD_S
        return True

    def observe(self, service: str, served: ServedLayers, now: float) -> None:
        """Compare what is served with what was before."""
        for zone in sorted({engine.zone for engine in served.engines}):
            key = (service, zone)
            least = served.least_copies(zone)
            if self._least.get(key) == least:
                continue
            self._least[key] = least
            without_s = float(0)
            if least:
                since = self._without_since.pop(key, now)
                without_s = round(now - since, 2)
            else:
                self._without_since.setdefault(key, now)
            self._log.write(
                'layer_copies',
                service=service,
                zone=zone,
                least=least,
                without_s=without_s,
            )
